package gorserill.cluster.member;

import java.util.List;

/**
 * The configuration of a member.
 *
 * @param cluster the name of the cluster; messages of other clusters are discarded
 * @param node the name of this node
 * @param process identifies this process among all processes of the node
 * @param boot increases from process to process of a node, as its start time does
 * @param build the build of the program
 * @param voters the nodes that keep the log: 3 or 5, or 1 for trials
 * @param pieces the pieces of work that this node can own
 * @param heartbeatMs heartbeat period of the leader in milliseconds
 * @param leaseMs milliseconds for which a node may act as owner without a renewal by the leader
 * @param clockDrift maximum relative drift between two clocks; lease checks depend on it, but not the
 *     uniqueness of acts
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
    /** Whether this node is a configured voter. */
    public boolean votes() {
        return voters.contains(node);
    }

    /**
     * Milliseconds without a renewal after which the leader closes the life of a node; longer than the lease
     * of the node.
     */
    public long failureTimeoutMs() {
        return (long) (leaseMs * (1 + 2 * clockDrift)) + heartbeatMs;
    }
}
