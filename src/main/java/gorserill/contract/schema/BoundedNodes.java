package gorserill.contract.schema;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Makes values that count how often a validator looks at them. Danger: a schema whose {@code anyOf} leads to
 * itself twice costs two to the power of a value's depth; counting the looks bounds any schema on any value,
 * whatever the validator does in between.
 */
final class BoundedNodes extends JsonNodeFactory {
    private static final long serialVersionUID = 1L;
    /**
     * Looks for each byte of a value, and for any value: many times what a schema written with care takes.
     */
    private static final long LOOKS_A_BYTE = 200;

    private static final long LOOKS = 50_000;

    private long left;

    /** Validating took more looks than its value's size allows. */
    static final class Exhausted extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Exhausted() {
            super("validating takes too long", null, false, false);
        }
    }

    BoundedNodes(int bytes) {
        left = LOOKS + LOOKS_A_BYTE * bytes;
    }

    private void look() {
        if (--left < 0) {
            throw new Exhausted();
        }
    }

    @Override
    public ObjectNode objectNode() {
        return new CountedObject(this);
    }

    @Override
    public ArrayNode arrayNode() {
        return new CountedList(this);
    }

    @Override
    public ArrayNode arrayNode(int capacity) {
        return new CountedList(this);
    }

    private static final class CountedObject extends ObjectNode {
        private static final long serialVersionUID = 1L;
        private final transient BoundedNodes nodes;

        CountedObject(BoundedNodes nodes) {
            super(nodes);
            this.nodes = nodes;
        }

        @Override
        public JsonNodeType getNodeType() {
            nodes.look();
            return JsonNodeType.OBJECT;
        }
    }

    private static final class CountedList extends ArrayNode {
        private static final long serialVersionUID = 1L;
        private final transient BoundedNodes nodes;

        CountedList(BoundedNodes nodes) {
            super(nodes);
            this.nodes = nodes;
        }

        @Override
        public JsonNodeType getNodeType() {
            nodes.look();
            return JsonNodeType.ARRAY;
        }
    }
}
