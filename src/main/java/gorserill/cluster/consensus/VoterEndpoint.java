package gorserill.cluster.consensus;

import io.microraft.RaftEndpoint;

/**
 * The name of a voter: that of its node or, if it replaced another voter, that and the index of the log entry
 * that requested it. A node that lost its disk must not return under its former voter name.
 */
record VoterEndpoint(String name) implements RaftEndpoint {
    private static final char ENTRY_SEPARATOR = '#';

    /** The voter name that a node gets by a log entry. */
    static String name(String node, long entry) {
        return node + ENTRY_SEPARATOR + entry;
    }

    /** The node that a voter name belongs to. */
    static String node(String name) {
        int separator = name.lastIndexOf(ENTRY_SEPARATOR);
        return separator < 0 ? name : name.substring(0, separator);
    }

    @Override
    public Object getId() {
        return name;
    }
}
