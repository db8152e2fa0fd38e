package gorserill.cluster.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.ClusterEnvironment;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Whether a voter may vote. One with an empty shelf is either new, as all voters of a new cluster are, or has
 * lost what it remembered; only the others can tell. So it is ready once it has heard of all of them that
 * none has voted yet, says so only after its shelf has it, and votes once all are ready. Danger: a voter that
 * came back empty under its old name would vote a second time in a term, and two leaders would own the same
 * work.
 */
final class Bootstrap {
    static final String KEY = "founding";

    /** BLANK: the shelf is empty. READY: it has not voted and knows that nobody had. FOUNDED: it may vote. */
    enum Stage {
        BLANK,
        READY,
        FOUNDED
    }

    private final String name;
    private final Collection<String> voters;
    private final long beat;
    private final ClusterEnvironment ground;
    private final StableStorage shelf;
    private final BiConsumer<String, JsonNode> send;
    private final Runnable founded;
    private final java.util.function.Consumer<IOException> failed;
    private final Map<String, Stage> heard = new LinkedHashMap<>();
    private Stage stage;
    private boolean forgot;

    /**
     * @param founded is told once this voter may vote
     * @param failed is told if the shelf fails
     */
    Bootstrap(
            String name,
            Collection<String> voters,
            long beat,
            ClusterEnvironment ground,
            StableStorage shelf,
            BiConsumer<String, JsonNode> send,
            Runnable founded,
            java.util.function.Consumer<IOException> failed) {
        this.name = name;
        this.voters = voters;
        this.beat = beat;
        this.ground = ground;
        this.shelf = shelf;
        this.send = send;
        this.founded = founded;
        this.failed = failed;
        String kept = shelf.all().get(KEY);
        stage = kept == null ? Stage.BLANK : Stage.valueOf(kept);
    }

    /** Whether another voter says that the cluster was founded, though this one remembers nothing of it. */
    boolean stateLost() {
        return forgot;
    }

    boolean isComplete() {
        return stage == Stage.FOUNDED;
    }

    /** It was given a place, or lost it: it knows that the cluster was founded. */
    void markComplete() {
        stage = Stage.FOUNDED;
        forgot = false;
    }

    void start() {
        if (isComplete()) {
            founded.run();
        } else if (voters.contains(name)) {
            ask();
        }
    }

    private void ask() {
        if (isComplete() || forgot) {
            return;
        }
        tryOn();
        voters.forEach(voter -> {
            if (!voter.equals(name)) {
                send.accept(voter, message(true));
            }
        });
        ground.after(beat, this::ask);
    }

    private ObjectNode message(boolean asks) {
        return JsonNodeFactory.instance.objectNode().put("stage", stage.name()).put("asks", asks);
    }

    void receive(String from, JsonNode message) {
        if (!voters.contains(from) || !voters.contains(name) || from.equals(name)) {
            return;
        }
        Stage its =
                switch (message.path("stage").asText()) {
                    case "READY" -> Stage.READY;
                    case "FOUNDED" -> Stage.FOUNDED;
                    default -> Stage.BLANK;
                };
        if (!isComplete()) {
            heard.put(from, its);
            tryOn();
        }
        if (message.path("asks").asBoolean()) {
            send.accept(from, message(false));
        }
    }

    private void tryOn() {
        boolean all = heard.size() == voters.size() - 1;
        if (stage == Stage.BLANK && heard.containsValue(Stage.FOUNDED)) {
            forgot = true;
        } else if (stage == Stage.BLANK && all) {
            move(Stage.READY);
        }
        if (stage == Stage.READY && all && !heard.containsValue(Stage.BLANK)) {
            move(Stage.FOUNDED);
            if (isComplete()) {
                founded.run();
            }
        }
    }

    /** Danger: said before it is on the disk, a crash would make a liar of this voter. */
    private void move(Stage to) {
        shelf.put(KEY, to.name());
        try {
            shelf.flush();
            stage = to;
        } catch (IOException e) {
            failed.accept(e);
        }
    }
}
