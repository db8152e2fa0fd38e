package gorserill.cluster.member;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.MalformedMessageException;
import gorserill.cluster.consensus.StableStorage;
import gorserill.cluster.consensus.Voter;
import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import gorserill.cluster.shared.BudgetClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;

/**
 * A member of the cluster. It opens a life in the register through the leader and renews its lease; while the
 * lease is valid, it owns the pieces that the register assigns to it. Every act on behalf of the fleet is
 * first claimed in the log, so an owner that was suspended and resumes late repeats nothing that its
 * successor did or will do, however long the suspension.
 */
public final class Member {
    /**
     * Maximum size of a message; longer ones are not sent. The view of a node with 64 pieces and all their
     * acts fits.
     */
    public static final int MAX_MESSAGE_BYTES = 60_000;
    /** Renewals sent per lease period; some may be lost. */
    private static final int RENEWALS_PER_LEASE = 5;
    /** Maximum number of requests waiting for an answer of the leader. */
    private static final int MAX_PENDING_REQUESTS = 512;
    /**
     * Recipient of a relayed message that is meant for the leader, which the relay may know better than the
     * sender.
     */
    private static final String LEADER_RECIPIENT = "";
    /**
     * Maximum number of voters learned from views that are asked for the leader, beside the configured ones.
     */
    private static final int MAX_LEARNED_VOTERS = 9;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** The outcome of a claim. */
    public enum ClaimResult {
        GRANTED,
        /** The act was or may have been claimed before; it must not be done. */
        REFUSED,
        /** The claim is not in the log and this request will not put it there; it may be repeated later. */
        RETRY,
        /**
         * The claim may be in the log now or later. If the same owner repeats it, the register grants it
         * again.
         */
        UNKNOWN
    }

    /** Faults that tests and drills inject to verify that the checks detect them. */
    public enum InjectedFault {
        /** A lease is counted from the receipt of the answer and lasts three times as long. */
        LEASE_WITHOUT_MARGIN,
        /** An owner treats its claim as granted without proposing it. */
        CLAIM_SKIPPED,
        /** An owner continues after its lease has expired. */
        OWNER_THAT_DOES_NOT_CHECK,
        /** A new owner keeps the epoch of the previous one. */
        EPOCH_NOT_KEPT,
        /** A voter with an empty store votes as if its state were intact. */
        FORGOTTEN_VOTES,
        /** Permits are granted without counting the nodes already out of service. */
        PERMITS_UNCOUNTED,
        /** Budget shares grow without regard to the shares of other nodes. */
        PARTS_OVER,
        /** A node spends a returned share until the log has the return. */
        GIVES_BACK_LATE,
        /** Retries are not limited by the retry budget, only by the limit of each job. */
        RETRIES_UNBOUNDED,
        /** A node spends its share after its lease has expired. */
        PART_KEPT,
        /** Messages are not relayed when the direct link fails. */
        NO_DETOUR
    }

    private static final class OwnedPiece {
        final long epoch;
        boolean leaving;

        OwnedPiece(long epoch) {
            this.epoch = epoch;
        }
    }

    private static final class PendingRequest {
        final Entry entry;
        final Consumer<Register.CommandResult> callback;
        final long deadline;

        PendingRequest(Entry entry, Consumer<Register.CommandResult> callback, long deadline) {
            this.entry = entry;
            this.callback = callback;
            this.deadline = deadline;
        }
    }

    private final MemberConfig config;
    private final ClusterEnvironment environment;
    private final PieceHandler pieceHandler;
    private final Set<InjectedFault> injectedFaults;
    private final Register register;
    /** Null on a node that does not vote. */
    private final Voter voter;

    private final LeaderService leaderService;
    private final Map<String, OwnedPiece> held = new TreeMap<>();
    /**
     * The last epoch in which this node released each piece; it never takes the piece again under that epoch.
     */
    private final Map<String, Long> releasedEpochs = new HashMap<>();

    private final Set<String> yielding = new HashSet<>();
    private final Map<Long, PendingRequest> pending = new TreeMap<>();
    private final Map<String, Integer> dropped = new HashMap<>();
    private long nextId = 1;
    private int nextVoterIndex;
    private int relayAttempts;
    private List<String> knownVoters;
    private BudgetClient spender;
    private String leader;
    private long life;
    private long viewIndex = -1;
    private long leaseUntil = Long.MIN_VALUE / 2;
    private long withoutLeaderSince = -1;
    private boolean leaves;
    private boolean stopped;
    private boolean joining;
    private boolean hadLife;
    private boolean replaced;
    private long boot;

    /**
     * @param storage the persistent state of a voter; null on a node that does not vote
     * @throws MalformedMessageException if the stored state can't be read
     */
    public Member(
            MemberConfig config,
            ClusterEnvironment environment,
            StableStorage storage,
            long seed,
            PieceHandler pieceHandler,
            Set<InjectedFault> injectedFaults)
            throws MalformedMessageException {
        this.config = config;
        this.environment = environment;
        this.pieceHandler = pieceHandler;
        this.injectedFaults = injectedFaults;
        boot = config.boot();
        knownVoters = config.voters();
        register = new Register(Arrays.stream(Register.Defect.values())
                .filter(flaw ->
                        injectedFaults.stream().anyMatch(plant -> plant.name().equals(flaw.name())))
                .collect(Collectors.toSet()));
        if (config.votes() || storage != null) {
            if (injectedFaults.contains(InjectedFault.FORGOTTEN_VOTES)) {
                Voter.injectFounded(storage);
            }
            voter = new Voter(
                    config.cluster(),
                    config.node(),
                    config.voters(),
                    config.heartbeatMs(),
                    seed,
                    environment,
                    storage,
                    (to, message) -> send(to, LeaderService.message("raft").set("raft", message)),
                    register,
                    now -> this.onLeadershipChange(now));
            leaderService = new LeaderService(config, environment, voter, register, this::send);
        } else {
            voter = null;
            leaderService = null;
        }
    }

    private void onLeadershipChange(boolean now) {
        leaderService.onLeadershipChange(now);
    }

    public void start() {
        withoutLeaderSince = environment.millis();
        if (voter != null) {
            voter.start();
        }
        if (spender != null) {
            spender.start();
        }
        renewLease();
    }

    /** Stops at once, like a crash; the stored state is kept. */
    public void stop() {
        stopped = true;
        if (voter != null) {
            voter.stop();
        }
    }

    // ---- state ----

    /** Whether this node owns the piece now, by its own clock. */
    public boolean owns(String piece) {
        return held.containsKey(piece) && inLease();
    }

    /** The epoch of the ownership; 0 if this node does not own the piece. */
    public long epoch(String piece) {
        return owns(piece) ? held.get(piece).epoch : 0;
    }

    /** The pieces that this node owns. */
    public List<String> owned() {
        return inLease() ? List.copyOf(held.keySet()) : List.of();
    }

    private boolean inLease() {
        return environment.millis() < leaseUntil || injectedFaults.contains(InjectedFault.OWNER_THAT_DOES_NOT_CHECK);
    }

    /**
     * The time since which no leader with a quorum has been heard, by the clock of the environment; -1 while
     * the lease is valid.
     */
    public long withoutLeaderSince() {
        return environment.millis() < leaseUntil ? -1 : withoutLeaderSince;
    }

    public long life() {
        return life;
    }

    /** Whether a newer process of the same node name has replaced this one permanently. */
    public boolean replaced() {
        return replaced;
    }

    /** The node that leads, as far as known; null if unknown. */
    public String leader() {
        return voter != null && voter.leader() != null ? voter.leader() : leader;
    }

    /** The log index of the latest view received; -1 before the first one. */
    public long viewIndex() {
        return viewIndex;
    }

    /**
     * The register as applied by this voter; empty on other nodes, and possibly behind on voters that do not
     * lead.
     */
    public Register register() {
        return register;
    }

    /**
     * The status of the voter ("leads", "votes") or the reason why it is inactive; null on a node that does
     * not vote.
     */
    public String voterStatus() {
        return voter == null
                ? null
                : voter.inactiveReason() != null ? voter.inactiveReason() : voter.isLeader() ? "leads" : "votes";
    }

    /** Counts of discarded messages by reason. */
    public Map<String, Integer> dropped() {
        return dropped;
    }

    // ---- requests to the leader ----

    /** Replaces one voter by another node, or a voter that lost its disk by itself. */
    public void replace(String leaving, String coming, long wait, Consumer<Register.CommandResult> callback) {
        ask(new Entry.Replace(leaving, coming), callback, wait);
    }

    /**
     * Requests a permit to be out of service while fewer than {@code most} others are; with {@code forced},
     * the node counts as out of service even if refused.
     */
    public void permit(int most, boolean forced, long wait, Consumer<Register.CommandResult> callback) {
        ask(new Entry.Permit(config.node(), most, forced), callback, wait);
    }

    /** Records that a node is back in service or permanently gone. */
    public void release(String node, long wait, Consumer<Register.CommandResult> callback) {
        ask(new Entry.Release(node), callback, wait);
    }

    /** State for diagnosing faults. */
    public String diagnostics() {
        return "asking " + pending.size() + " " + (voter == null ? "" : voter.diagnostics());
    }

    /** The names of the voters, each with whether it votes already, as known to this voter. */
    public Map<String, Boolean> voters() {
        return voter == null ? Map.of() : voter.members();
    }

    /**
     * Marks this node as leaving, so that it gets no new pieces and hands over the current ones, or withdraws
     * that.
     */
    public void setLeaving(boolean leaving) {
        leaves = leaving;
        if (life > 0) {
            ask(new Entry.Leave(config.node(), life, leaving), answer -> {}, config.leaseMs());
        }
    }

    /** Closes the life of this node. */
    public void close(Runnable callback) {
        // Its pieces are reassigned as soon as the entry is committed, so they are released here first.
        long closedLife = life;
        life = 0;
        joining = true;
        leaseUntil = Long.MIN_VALUE / 2;
        releaseAll();
        clearBudgets();
        ask(new Entry.Close(config.node(), closedLife, "left"), answer -> callback.run(), config.leaseMs());
    }

    /** Sets the consumer of the budget shares; to be called before {@link #start}. */
    public void setSpender(BudgetClient newSpender) {
        spender = newSpender;
    }

    /** The interface through which the budget client uses this member. */
    public BudgetClient.MemberLink budgetLink() {
        return new BudgetClient.MemberLink() {
            @Override
            public long life() {
                return life;
            }

            @Override
            public long leaseUntil() {
                return injectedFaults.contains(InjectedFault.PART_KEPT) ? Long.MAX_VALUE / 2 : leaseUntil;
            }

            @Override
            public void request(String budget, int wants, int keeps, long turn, IntConsumer callback) {
                ask(
                        new Entry.RequestBudget(config.node(), life, budget, wants, keeps, turn),
                        answer -> callback.accept(answer == null || !answer.accepted() ? -1 : (int) answer.value()),
                        config.leaseMs());
            }
        };
    }

    private void clearBudgets() {
        if (spender != null) {
            spender.applyView(JSON.createArrayNode());
        }
    }

    /**
     * Assigns a piece to a node, or removes the assignment if the name is empty.
     *
     * @param wait milliseconds after which {@code callback} receives null instead of an answer
     */
    public void transfer(String piece, String to, long wait, Consumer<Register.CommandResult> callback) {
        ask(new Entry.Transfer(piece, to), callback, wait);
    }

    /**
     * Claims an act. The callback runs exactly once, within the lease and never during this call. GRANTED is
     * reported only for a claim that the log has under the epoch of this node.
     *
     * @param again whether an act of unknown outcome may be repeated, where that is harmless
     */
    public void claim(String piece, long act, boolean again, Consumer<ClaimResult> callback) {
        long epoch = epoch(piece);
        if (epoch == 0 || held.get(piece).leaving || injectedFaults.contains(InjectedFault.CLAIM_SKIPPED)) {
            environment.after(
                    0,
                    () -> callback.accept(
                            epoch > 0 && injectedFaults.contains(InjectedFault.CLAIM_SKIPPED)
                                    ? ClaimResult.GRANTED
                                    : ClaimResult.RETRY));
            return;
        }
        ask(
                new Entry.Claim(piece, epoch, act, again),
                answer -> callback.accept(
                        answer == null
                                ? ClaimResult.UNKNOWN
                                : answer.accepted()
                                        ? ClaimResult.GRANTED
                                        : answer.reason().equals(Register.ALREADY_CLAIMED)
                                                ? ClaimResult.REFUSED
                                                : ClaimResult.RETRY),
                Math.max(config.heartbeatMs(), leaseUntil - environment.millis()));
    }

    /**
     * Reports the end of a claimed act, and repeats the report until the log has it: acts left open count
     * against the limit of the piece.
     */
    public void done(String piece, long epoch, long act) {
        ask(
                new Entry.Done(piece, epoch, act),
                answer -> {
                    if (answer == null && !stopped) {
                        environment.after(config.heartbeatMs(), () -> done(piece, epoch, act));
                    }
                },
                config.leaseMs());
    }

    /**
     * Sends a request to the leader.
     *
     * @param callback receives the answer, or null if none arrived within {@code wait} milliseconds
     */
    private void ask(Entry entry, Consumer<Register.CommandResult> callback, long wait) {
        if (pending.size() >= MAX_PENDING_REQUESTS) {
            drop("more than " + MAX_PENDING_REQUESTS + " pending requests");
            environment.after(0, () -> callback.accept(null));
            return;
        }
        long id = nextId++;
        pending.put(id, new PendingRequest(entry, callback, environment.millis() + wait));
        ask(id);
    }

    private void ask(long id) {
        PendingRequest request = pending.get(id);
        if (request == null || stopped) {
            return;
        } else if (environment.millis() >= request.deadline) {
            pending.remove(id);
            request.callback.accept(null);
            return;
        }
        sendToLeader(LeaderService.message("ask")
                .put("id", id)
                .put("process", config.process())
                .put("entry", Register.text(request.entry)));
        environment.after(
                Math.max(1, Math.min(2 * config.heartbeatMs(), request.deadline - environment.millis())), () -> {
                    if (pending.containsKey(id)) {
                        tryNextVoter();
                        ask(id);
                    }
                });
    }

    // ---- the lease ----

    private void renewLease() {
        if (stopped) {
            return;
        }
        if (!inLease()) {
            releaseAll();
        }
        if (life == 0) {
            join();
        } else {
            sendToLeader(LeaderService.message("renew").put("life", life).put("at", environment.millis()));
        }
        if (environment.millis() >= leaseUntil - config.leaseMs() / 2) {
            tryNextVoter();
        }
        environment.after(Math.max(1, config.leaseMs() / RENEWALS_PER_LEASE), this::renewLease);
    }

    private void join() {
        if (joining || replaced) {
            return;
        }
        joining = true;
        ask(
                new Entry.Open(config.node(), config.process(), boot, config.build(), config.pieces(), Entry.FORMAT),
                answer -> {
                    joining = false;
                    if (answer != null && answer.reason().equals(Register.NEWER_PROCESS_KNOWN)) {
                        // Two processes of one node name must not keep replacing each other. A process that
                        // has had a life gives way; a new one, started while the clock was set back, retries
                        // with a higher boot number.
                        replaced = hadLife;
                        boot = answer.value() + 1;
                    } else if (answer != null && answer.accepted()) {
                        hadLife = true;
                        life = answer.value();
                        if (leaves) {
                            setLeaving(true);
                        }
                        sendToLeader(
                                LeaderService.message("renew").put("life", life).put("at", environment.millis()));
                    }
                },
                config.leaseMs());
    }

    /**
     * Releases all pieces. If a piece were taken again under the same epoch, it would arrive with open acts
     * that this node may have completed and forgotten, so it must return under a new epoch.
     */
    private void releaseAll() {
        for (Map.Entry<String, OwnedPiece> entry : List.copyOf(held.entrySet())) {
            held.remove(entry.getKey());
            releasedEpochs.put(entry.getKey(), entry.getValue().epoch);
            pieceHandler.lost(entry.getKey(), entry.getValue().epoch);
        }
    }

    private void proposeYield(String piece, long epoch) {
        if (yielding.add(piece)) {
            ask(new Entry.Yield(piece, epoch), answer -> yielding.remove(piece), config.leaseMs());
        }
    }

    private void applyView(JsonNode view) {
        long at = view.path("at").asLong(-1);
        long of = view.path("as_of").asLong(-1);
        long viewLife = view.path("life").asLong(0);
        if (of < viewIndex || life == 0) {
            // A delayed older view would return pieces that this node has released.
            return;
        }
        viewIndex = of;
        updateVoters(view);
        if (!inLease()) {
            // The lease expired before this renewal: the handlers must be notified of the loss, or work that
            // stopped at the expiry would not start again.
            releaseAll();
        }
        if (viewLife != life) {
            // Another process of this node name replaced this one, or the leader did not hear it for too
            // long.
            life = 0;
            leaseUntil = Long.MIN_VALUE / 2;
            withoutLeaderSince = environment.millis();
            releaseAll();
            clearBudgets();
            return;
        }
        if (at >= 0 && at <= environment.millis()) {
            // Counted from the sending of the request, so that the lease ends here before the failure timeout
            // of the leader does.
            long until = injectedFaults.contains(InjectedFault.LEASE_WITHOUT_MARGIN)
                    ? environment.millis() + 3 * config.leaseMs()
                    : at + (long) (config.leaseMs() * (1 - config.clockDrift()));
            leaseUntil = Math.max(leaseUntil, until);
            withoutLeaderSince = Math.max(withoutLeaderSince, leaseUntil);
        }
        if (spender != null) {
            spender.applyView(view.path("budgets"));
        }
        if (inLease()) {
            updatePieces(view.path("pieces"));
        }
    }

    /**
     * Updates the voters that are asked for the leader: the configured ones and the ones named by the view.
     */
    private void updateVoters(JsonNode view) {
        Set<String> members = new TreeSet<>();
        view.path("members").forEach(one -> members.add(one.asText()));
        Set<String> nodes = new LinkedHashSet<>(config.voters());
        members.stream().limit(MAX_LEARNED_VOTERS).forEach(one -> nodes.add(Voter.node(one)));
        if (!knownVoters.equals(List.copyOf(nodes))) {
            knownVoters = List.copyOf(nodes);
            nextVoterIndex = 0;
        }
        if (voter != null) {
            voter.updateMembers(members, view.path("members_since").asLong());
        }
    }

    private void updatePieces(JsonNode pieces) {
        Set<String> named = new HashSet<>();
        for (JsonNode one : pieces) {
            String piece = one.path("piece").asText();
            long epoch = one.path("epoch").asLong();
            if (epoch <= releasedEpochs.getOrDefault(piece, 0L)) {
                // The piece has been reassigned since, or the log does not have the release yet or never
                // received it.
                proposeYield(piece, epoch);
                continue;
            }
            named.add(piece);
            OwnedPiece ownedPiece = held.get(piece);
            if (ownedPiece != null && ownedPiece.epoch != epoch) {
                held.remove(piece);
                pieceHandler.lost(piece, ownedPiece.epoch);
                ownedPiece = null;
            }
            if (ownedPiece == null) {
                ownedPiece = new OwnedPiece(epoch);
                held.put(piece, ownedPiece);
                TreeSet<Long> unknown = new TreeSet<>();
                one.path("unknown").forEach(act -> unknown.add(act.asLong()));
                pieceHandler.owns(piece, epoch, one.path("last").asLong(), unknown);
            }
            if (!one.path("stays").asBoolean(true) && !ownedPiece.leaving) {
                ownedPiece.leaving = true;
                pieceHandler.handOver(piece, epoch, () -> environment.after(0, () -> releasePiece(piece, epoch)));
            }
        }
        for (String piece : new ArrayList<>(held.keySet())) {
            if (!named.contains(piece)) {
                pieceHandler.lost(piece, held.remove(piece).epoch);
            }
        }
    }

    private void releasePiece(String piece, long epoch) {
        OwnedPiece ownedPiece = held.get(piece);
        if (ownedPiece != null && ownedPiece.epoch == epoch && !stopped) {
            held.remove(piece);
            releasedEpochs.put(piece, epoch);
            pieceHandler.lost(piece, epoch);
            proposeYield(piece, epoch);
        }
    }

    // ---- messages ----

    private void tryNextVoter() {
        leader = null;
        nextVoterIndex = (nextVoterIndex + 1) % knownVoters.size();
    }

    /**
     * Sends to the presumed leader; if no renewal succeeded for half a lease, also relays through another
     * voter, so that one broken link does not end the life of a node that all the others can reach.
     */
    private void sendToLeader(ObjectNode message) {
        String to = voter != null && voter.leader() != null
                ? voter.leader()
                : leader != null ? leader : knownVoters.get(nextVoterIndex);
        String other =
                knownVoters.get((nextVoterIndex + 1 + relayAttempts++ % knownVoters.size()) % knownVoters.size());
        if (!injectedFaults.contains(InjectedFault.NO_DETOUR)
                && environment.millis() >= leaseUntil - config.leaseMs() / 2
                && !other.equals(config.node())
                && !other.equals(to)) {
            relay(other, LEADER_RECIPIENT, message.deepCopy());
        }
        send(to, message);
    }

    /** Relays a message through another member, as the direct link may be broken. */
    private void relay(String relayNode, String to, ObjectNode message) {
        sign(message);
        send(relayNode, LeaderService.message("by").put("to", to).set("message", message));
    }

    private ObjectNode sign(ObjectNode message) {
        return message.put("cluster", config.cluster()).put("from", config.node());
    }

    private void send(String to, ObjectNode message) {
        sign(message);
        byte[] bytes = message.toString().getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_MESSAGE_BYTES) {
            drop("message exceeds " + MAX_MESSAGE_BYTES + " bytes: "
                    + message.path("kind").asText());
        } else if (to.equals(config.node())) {
            environment.after(0, () -> receive(bytes));
        } else {
            environment.send(to, bytes);
        }
    }

    private void drop(String reason) {
        // Reasons contain received text, so the number of distinct ones is limited.
        dropped.merge(dropped.size() < 64 ? reason : "others", 1, Integer::sum);
    }

    /** Handles a received message. Returns the node name of its sender, or null if it was discarded. */
    public String receive(byte[] bytes) {
        if (stopped) {
            return null;
        }
        try {
            JsonNode message = JSON.readTree(bytes);
            if (message == null || !message.isObject()) {
                drop("no JSON object");
            } else if (!message.path("cluster").asText().equals(config.cluster())) {
                drop("another cluster's");
            } else {
                String from = message.path("from").asText();
                handle(from, message, this::send);
                return from;
            }
        } catch (JsonProcessingException e) {
            drop("no JSON");
        } catch (IOException | MalformedMessageException e) {
            drop(e.getMessage());
        }
        return null;
    }

    /** @param back sends an answer to the node */
    private void handle(String from, JsonNode message, BiConsumer<String, ObjectNode> back)
            throws MalformedMessageException, IOException {
        String kind = message.path("kind").asText();
        switch (kind) {
            case "raft" -> {
                if (voter == null) {
                    throw new MalformedMessageException("raft: this node does not vote");
                }
                voter.receive(from, message.path("raft"));
            }
            case "ask", "renew" -> serveAsLeader(from, kind, message, back);
            case "by" -> forwardRelayed(from, message.path("to").asText(), message.path("message"));
            case "seat" -> {
                if (voter == null) {
                    throw new MalformedMessageException("seat: this node has no store to vote with");
                }
                voter.acceptAssignment(message.path("seat"));
            }
            case "told" -> {
                // An answer to a previous process of this node must not complete a request of this one.
                PendingRequest request = message.path("process").asText().equals(config.process())
                        ? pending.remove(message.path("id").asLong())
                        : null;
                if (request != null) {
                    request.callback.accept(new Register.CommandResult(
                            message.path("done").asBoolean(),
                            message.path("why").asText(),
                            message.path("number").asLong()));
                }
            }
            case "view" -> {
                leader = from;
                applyView(message);
            }
            case "where" -> {
                String named = message.path("leader").asText("");
                leader = named.isEmpty() || named.equals(config.node()) ? null : named;
            }
            default -> throw new MalformedMessageException("kind: '" + kind + "' is not known to this build");
        }
    }

    /**
     * Forwards a message that another member can't send directly. A relayed message is never relayed again,
     * so it can't circulate; the recipient handles it and sends its answer back through the same relay.
     */
    private void forwardRelayed(String relayNode, String to, JsonNode message)
            throws MalformedMessageException, IOException {
        if (!(message instanceof ObjectNode inner)
                || inner.path("kind").asText().equals("by")
                || !inner.path("cluster").asText().equals(config.cluster())) {
            throw new MalformedMessageException("by: holds no message of this cluster");
        }
        // A sender that can't reach the leader may not know any more which node leads; the relay may.
        String recipient =
                !to.equals(LEADER_RECIPIENT) ? to : voter != null && voter.isLeader() ? config.node() : leader();
        if (recipient == null) {
            drop("by: no leader is known here");
        } else if (recipient.equals(config.node())) {
            handle(inner.path("from").asText(), inner, (from, answer) -> {
                relay(relayNode, from, answer.deepCopy());
                send(from, answer);
            });
        } else if (!relayNode.equals(recipient)) {
            send(recipient, LeaderService.message("by").put("to", recipient).set("message", inner));
        }
    }

    private void serveAsLeader(String from, String kind, JsonNode message, BiConsumer<String, ObjectNode> back)
            throws MalformedMessageException {
        if (voter == null || !voter.isLeader()) {
            back.accept(from, LeaderService.message("where").put("leader", leader()));
        } else if (kind.equals("renew")) {
            leaderService.renew(
                    back,
                    from,
                    message.path("life").asLong(),
                    message.path("at").asLong());
        } else {
            try {
                leaderService.handleRequest(
                        back,
                        from,
                        message.path("process").asText(),
                        message.path("id").asLong(),
                        Register.entry(message.path("entry").asText()));
            } catch (JsonProcessingException e) {
                throw new MalformedMessageException("entry: is not known to this build");
            }
        }
    }
}
