package gorserill.cluster.consensus;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.MalformedMessageException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The role of a node as a voter, assigned after the cluster was founded.
 *
 * @param voter the voter name; empty if the node was replaced
 * @param first the initial voters of the cluster
 * @param since the index of the log entry of the membership change
 */
record VoterAssignment(String voter, List<String> first, long since) {
    private static final String KEY = "seat";
    private static final ObjectMapper TEXT = new ObjectMapper();

    ObjectNode toJson() {
        ObjectNode text = TEXT.createObjectNode().put("voter", voter).put("since", since);
        first.forEach(text.putArray("first")::add);
        return text;
    }

    /** @throws MalformedMessageException if it is not a valid assignment */
    static VoterAssignment parse(JsonNode text, String where) throws MalformedMessageException {
        List<String> first = new ArrayList<>();
        text.path("first").forEach(name -> first.add(name.asText()));
        if (!text.path("voter").isTextual()
                || first.isEmpty()
                || !text.path("since").isIntegralNumber()) {
            throw new MalformedMessageException(where + ": is no place among the voters");
        }
        return new VoterAssignment(
                text.path("voter").asText(), first, text.path("since").asLong());
    }

    /** The stored assignment; null if there is none. */
    static VoterAssignment load(StableStorage storage) throws MalformedMessageException {
        String text = storage.all().get(KEY);
        try {
            return text == null ? null : parse(TEXT.readTree(text), KEY);
        } catch (JsonProcessingException e) {
            throw new MalformedMessageException(KEY + ": is no JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Replaces all stored data by this assignment in one flush, so that a crash leaves either the old or the
     * new state.
     */
    void save(StableStorage storage) throws IOException {
        List.copyOf(storage.all().keySet()).forEach(storage::remove);
        storage.put(KEY, toJson().toString());
        storage.put(Bootstrap.KEY, Bootstrap.Stage.FOUNDED.name());
        storage.flush();
    }
}
