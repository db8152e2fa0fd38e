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
 * A place among the voters that a node was given after the cluster was founded.
 *
 * @param voter the name that it votes under; empty where another took its place
 * @param first the voters that the cluster was founded with
 * @param since the entry of the log that made it a member
 */
record VoterAssignment(String voter, List<String> first, long since) {
    private static final String KEY = "seat";
    private static final ObjectMapper TEXT = new ObjectMapper();

    ObjectNode toJson() {
        ObjectNode text = TEXT.createObjectNode().put("voter", voter).put("since", since);
        first.forEach(text.putArray("first")::add);
        return text;
    }

    /** @throws MalformedMessageException where it is none */
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

    /** The one that the shelf holds; null where there is none. */
    static VoterAssignment load(StableStorage shelf) throws MalformedMessageException {
        String text = shelf.all().get(KEY);
        try {
            return text == null ? null : parse(TEXT.readTree(text), KEY);
        } catch (JsonProcessingException e) {
            throw new MalformedMessageException(KEY + ": is no JSON: " + e.getOriginalMessage());
        }
    }

    /** Clears a shelf for the seat: in one step, so that a crash leaves the one or the other. */
    void save(StableStorage shelf) throws IOException {
        List.copyOf(shelf.all().keySet()).forEach(shelf::remove);
        shelf.put(KEY, toJson().toString());
        shelf.put(Bootstrap.KEY, Bootstrap.Stage.FOUNDED.name());
        shelf.flush();
    }
}
