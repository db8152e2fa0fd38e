package gorserill.program.scale;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * What was measured at one point, means over the nodes where not said.
 *
 * @param cpuMsPerJob CPU of a node for a job, without what it uses when idle
 * @param cpuMsPerJobWhole the same with it
 * @param idleCorePercent of one core, with nothing to do
 * @param idleCorePercentMost the same of the node that uses most
 * @param discoveryBytesPerSecondIdle from discovery to one node
 * @param discoveryCalls of all nodes, from their start to the end
 * @param wholeListBytes of the whole list as discovery would serve it at the end
 * @param workerBytesPerJob to and from workers
 * @param attemptsPerJob times that a job reached a worker
 * @param heapMb live after a full collection, of the first node
 * @param residentMb the most of any node, under load
 * @param readyMs from a node's start until it served, the longest
 * @param learnP50Ms from a change of the list to the node's knowing it
 * @param changes of the list that were made, times nodes
 * @param unlearned those that no node's log told of until the end
 * @param latencyP50Ms of jobs, from the moment at which each was to be sent
 * @param joinMs until all hollow nodes were members; NaN without any, like what follows
 * @param clusterMessagesPerSecond to and from all hollow nodes, idle
 * @param clusterBytesPerSecond the same in bytes
 * @param partP50Ms from a hollow node's sudden demand to a part of the budget that follows it
 * @param violated rules
 */
@JsonPropertyOrder({"workers", "nodes", "hollowNodes", "tenants", "churn", "rate", "seconds", "seed"})
public record PointFigures(
        int workers,
        int nodes,
        int hollowNodes,
        int tenants,
        double churn,
        int rate,
        int seconds,
        long seed,
        long jobs,
        long served,
        long refused,
        long failed,
        double cpuMsPerJob,
        double cpuMsPerJobWhole,
        double idleCorePercent,
        double idleCorePercentMost,
        double discoveryBytesPerSecondIdle,
        long discoveryCalls,
        long wholeListBytes,
        double workerBytesPerJob,
        double attemptsPerJob,
        double heapMb,
        double residentMb,
        double readyMs,
        double learnP50Ms,
        double learnMaxMs,
        long changes,
        long unlearned,
        double latencyP50Ms,
        double latencyP99Ms,
        double latencyMaxMs,
        double joinMs,
        double clusterMessagesPerSecond,
        double clusterBytesPerSecond,
        double partP50Ms,
        double partMaxMs,
        long violated) {}
