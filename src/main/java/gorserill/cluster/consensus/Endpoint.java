package gorserill.cluster.consensus;

import io.microraft.RaftEndpoint;

/** A voter in the group, by the name of its node. */
record Endpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }
}
