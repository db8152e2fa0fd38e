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
 * Decides whether a voter may vote. A voter with empty storage is either new, as all voters of a new cluster
 * are, or has lost its state, which only the other voters can tell. It becomes READY once all of them have
 * reported that they have not voted yet, reports this only after it is on disk, and votes once all are ready.
 * A voter that returned with empty storage under its old name could vote twice in a term, and two leaders
 * would assign the same work.
 */
final class Bootstrap {
    static final String KEY = "founding";

    /**
     * BLANK: the storage is empty. READY: this voter has not voted and knows that no other had. FOUNDED: it
     * may vote.
     */
    enum Stage {
        BLANK,
        READY,
        FOUNDED
    }

    private final String name;
    private final Collection<String> voters;
    private final long heartbeatMs;
    private final ClusterEnvironment environment;
    private final StableStorage storage;
    private final BiConsumer<String, JsonNode> send;
    private final Runnable founded;
    private final java.util.function.Consumer<IOException> failed;
    private final Map<String, Stage> reportedStages = new LinkedHashMap<>();
    private Stage stage;
    private boolean stateLost;

    /**
     * @param founded is called once this voter may vote
     * @param failed is called if the storage fails
     */
    Bootstrap(
            String name,
            Collection<String> voters,
            long heartbeatMs,
            ClusterEnvironment environment,
            StableStorage storage,
            BiConsumer<String, JsonNode> send,
            Runnable founded,
            java.util.function.Consumer<IOException> failed) {
        this.name = name;
        this.voters = voters;
        this.heartbeatMs = heartbeatMs;
        this.environment = environment;
        this.storage = storage;
        this.send = send;
        this.founded = founded;
        this.failed = failed;
        String kept = storage.all().get(KEY);
        stage = kept == null ? Stage.BLANK : Stage.valueOf(kept);
    }

    /** Whether another voter reports that the cluster was founded although this one has no stored state. */
    boolean stateLost() {
        return stateLost;
    }

    boolean isComplete() {
        return stage == Stage.FOUNDED;
    }

    /** Records that the cluster was founded, as this voter received or lost an assignment. */
    void markComplete() {
        stage = Stage.FOUNDED;
        stateLost = false;
    }

    void start() {
        if (isComplete()) {
            founded.run();
        } else if (voters.contains(name)) {
            queryVoters();
        }
    }

    private void queryVoters() {
        if (isComplete() || stateLost) {
            return;
        }
        advance();
        voters.forEach(voter -> {
            if (!voter.equals(name)) {
                send.accept(voter, message(true));
            }
        });
        environment.after(heartbeatMs, this::queryVoters);
    }

    private ObjectNode message(boolean asks) {
        return JsonNodeFactory.instance.objectNode().put("stage", stage.name()).put("asks", asks);
    }

    void receive(String from, JsonNode message) {
        if (!voters.contains(from) || !voters.contains(name) || from.equals(name)) {
            return;
        }
        Stage reportedStage =
                switch (message.path("stage").asText()) {
                    case "READY" -> Stage.READY;
                    case "FOUNDED" -> Stage.FOUNDED;
                    default -> Stage.BLANK;
                };
        if (!isComplete()) {
            reportedStages.put(from, reportedStage);
            advance();
        }
        if (message.path("asks").asBoolean()) {
            send.accept(from, message(false));
        }
    }

    private void advance() {
        boolean all = reportedStages.size() == voters.size() - 1;
        if (stage == Stage.BLANK && reportedStages.containsValue(Stage.FOUNDED)) {
            stateLost = true;
        } else if (stage == Stage.BLANK && all) {
            persistStage(Stage.READY);
        }
        if (stage == Stage.READY && all && !reportedStages.containsValue(Stage.BLANK)) {
            persistStage(Stage.FOUNDED);
            if (isComplete()) {
                founded.run();
            }
        }
    }

    /** Persists the stage before it is reported; otherwise a crash would make the report false. */
    private void persistStage(Stage to) {
        storage.put(KEY, to.name());
        try {
            storage.flush();
            stage = to;
        } catch (IOException e) {
            failed.accept(e);
        }
    }
}
