package gorserill.cluster.member;

import java.util.List;

/**
 * What a member is told at its start.
 *
 * @param cluster the cluster's name; members of another are not heard
 * @param node this node's name
 * @param process tells this process from any other of the node
 * @param boot rises from process to process of a node, as the time of its start does
 * @param build of the program
 * @param voters the nodes that keep the log: 3 or 5, or 1 to try things out
 * @param pieces of work that this node can own
 * @param heartbeatMs milliseconds between a leader's signs to the other voters
 * @param leaseMs milliseconds that a node may go on as owner without a word of the leader's
 * @param clockDrift parts of a second by which two clocks may part in a second; beliefs, not acts, rest on it
 */
public record MemberConfig(
        String cluster,
        String node,
        String process,
        long boot,
        String build,
        List<String> voters,
        List<String> pieces,
        long heartbeatMs,
        long leaseMs,
        double clockDrift) {
    /** Whether this node keeps the log. */
    public boolean votes() {
        return voters.contains(node);
    }

    /** How long a leader waits for a word of a node before its life is over: longer than the node's lease. */
    public long failureTimeoutMs() {
        return (long) (leaseMs * (1 + 2 * clockDrift)) + heartbeatMs;
    }
}
