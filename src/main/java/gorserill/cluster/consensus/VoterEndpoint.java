package gorserill.cluster.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter in the group: the name of its node, or, where it came in another's place, that and the number of
 * the log's entry that said so. Danger: a node that lost its disk must not come back as the voter that it
 * was.
 */
record VoterEndpoint(String name) implements RaftEndpoint {
    private static final char PLACE = '#';

    /** The voter that a node becomes by that entry of the log. */
    static String name(String node, long entry) {
        return node + PLACE + entry;
    }

    /** The node of a voter. */
    static String node(String name) {
        int place = name.lastIndexOf(PLACE);
        return place < 0 ? name : name.substring(0, place);
    }

    @Override
    public Object getId() {
        return name;
    }
}
