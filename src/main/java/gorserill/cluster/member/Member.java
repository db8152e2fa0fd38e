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
 * A node in the cluster. It asks the leader for a life in the register and renews its lease; while the lease
 * holds, it owns what the register says. An act for the fleet is claimed in the log first, so an owner that
 * was stalled and wakes up late does nothing that its successor did or will do, however long the stall.
 */
public final class Member {
    /** Bytes of a message; a longer one is not sent. A node's view of 64 pieces with all their acts fits. */
    public static final int MAX_MESSAGE_BYTES = 60_000;
    /** Renewals in a lease; some may be lost. */
    private static final int RENEWALS = 5;
    /** What is asked of the leader and waits for its answer. */
    private static final int ASKING = 512;
    /** Whom a message by way of another is for, where that one may know better: whoever leads. */
    private static final String LEADER = "";
    /** Voters that a node asks for the leader, beside those that its file names. */
    private static final int SEATS = 9;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** What came of a claim. */
    public enum ClaimResult {
        GRANTED,
        /** The act was claimed before, or may be; it must not be done. */
        REFUSED,
        /** It is not in the log, and won't come into it by this question: it may be asked again later. */
        RETRY,
        /** It may be in the log, or may yet; asked again by the same owner, the log grants it if it is. */
        UNKNOWN
    }

    /** Faults that can be planted, so that checks are seen to find them. */
    public enum InjectedFault {
        /** A lease counts from its answer's coming, and three times as long. */
        LEASE_WITHOUT_MARGIN,
        /** An owner takes its claim for granted. */
        CLAIM_SKIPPED,
        /** An owner goes on after its lease is over. */
        OWNER_THAT_DOES_NOT_CHECK,
        /** A new owner goes on under the epoch of the one before. */
        EPOCH_NOT_KEPT,
        /** A voter with an empty store votes as if it remembered. */
        FORGOTTEN_VOTES,
        /** Permits are given whoever is out. */
        PERMITS_UNCOUNTED,
        /** Parts of budgets grow whatever the others have. */
        PARTS_OVER,
        /** A node spends its part until the log has that it gave it back. */
        GIVES_BACK_LATE,
        /** Attempts are made again as often as each job may. */
        RETRIES_UNBOUNDED,
        /** A node spends its part after its lease is over. */
        PART_KEPT,
        /** What can't go straight goes by nobody else. */
        NO_DETOUR
    }

    private static final class Held {
        final long epoch;
        boolean leaving;

        Held(long epoch) {
            this.epoch = epoch;
        }
    }

    private static final class Question {
        final Entry entry;
        final Consumer<Register.CommandResult> then;
        final long until;

        Question(Entry entry, Consumer<Register.CommandResult> then, long until) {
            this.entry = entry;
            this.then = then;
            this.until = until;
        }
    }

    private final MemberConfig config;
    private final ClusterEnvironment ground;
    private final PieceHandler duty;
    private final Set<InjectedFault> plants;
    private final Register register;
    /** Null at a node that does not vote. */
    private final Voter voter;

    private final LeaderService leaderService;
    private final Map<String, Held> held = new TreeMap<>();
    /** The epochs under which this node let go of pieces; it never takes them up again. */
    private final Map<String, Long> letGo = new HashMap<>();

    private final Set<String> yielding = new HashSet<>();
    private final Map<Long, Question> asking = new TreeMap<>();
    private final Map<String, Integer> dropped = new HashMap<>();
    private long nextId = 1;
    private int leaderAt;
    private int ways;
    private List<String> seats;
    private BudgetClient spender;
    private String leader;
    private long life;
    private long asOf = -1;
    private long leaseUntil = Long.MIN_VALUE / 2;
    private long alone = -1;
    private boolean leaves;
    private boolean stopped;
    private boolean joining;
    private boolean lived;
    private boolean replaced;
    private long boot;

    /**
     * @param shelf where a voter keeps what it must not forget; null at a node that does not vote
     * @throws MalformedMessageException where the shelf can't be read
     */
    public Member(
            MemberConfig config,
            ClusterEnvironment ground,
            StableStorage shelf,
            long seed,
            PieceHandler duty,
            Set<InjectedFault> plants)
            throws MalformedMessageException {
        this.config = config;
        this.ground = ground;
        this.duty = duty;
        this.plants = plants;
        boot = config.boot();
        seats = config.voters();
        register = new Register(Arrays.stream(Register.Defect.values())
                .filter(flaw -> plants.stream().anyMatch(plant -> plant.name().equals(flaw.name())))
                .collect(Collectors.toSet()));
        if (config.votes() || shelf != null) {
            if (plants.contains(InjectedFault.FORGOTTEN_VOTES)) {
                Voter.injectFounded(shelf);
            }
            voter = new Voter(
                    config.cluster(),
                    config.node(),
                    config.voters(),
                    config.heartbeatMs(),
                    seed,
                    ground,
                    shelf,
                    (to, message) -> send(to, LeaderService.message("raft").set("raft", message)),
                    register,
                    now -> this.leads(now));
            leaderService = new LeaderService(config, ground, voter, register, this::send);
        } else {
            voter = null;
            leaderService = null;
        }
    }

    private void leads(boolean now) {
        leaderService.leads(now);
    }

    public void start() {
        alone = ground.millis();
        if (voter != null) {
            voter.start();
        }
        if (spender != null) {
            spender.start();
        }
        renewal();
    }

    /** Ends at once, as a crash would; what was promised stays on the shelf. */
    public void stop() {
        stopped = true;
        if (voter != null) {
            voter.stop();
        }
    }

    // ---- what this node is and has ----

    /** Whether this node owns a piece at this moment, by its own clock. */
    public boolean owns(String piece) {
        return held.containsKey(piece) && inLease();
    }

    /** The epoch under which it does; 0 where it does not. */
    public long epoch(String piece) {
        return owns(piece) ? held.get(piece).epoch : 0;
    }

    /** The pieces that this node owns. */
    public List<String> owned() {
        return inLease() ? List.copyOf(held.keySet()) : List.of();
    }

    private boolean inLease() {
        return ground.millis() < leaseUntil || plants.contains(InjectedFault.OWNER_THAT_DOES_NOT_CHECK);
    }

    /**
     * Since when, by the ground's clock, this node has had no word of a leader with a quorum; -1 where it
     * has.
     */
    public long withoutLeaderSince() {
        return ground.millis() < leaseUntil ? -1 : alone;
    }

    public long life() {
        return life;
    }

    /** Whether a newer process of this node's name took its place for good. */
    public boolean replaced() {
        return replaced;
    }

    /** Who leads, as far as this node knows; null where it does not. */
    public String leader() {
        return voter != null && voter.leader() != null ? voter.leader() : leader;
    }

    /** The log's entry as of which this node last heard what it owns; -1 where it has not. */
    public long viewIndex() {
        return asOf;
    }

    /** What a voter has applied of the log; empty at others, and late anywhere but at the leader. */
    public Register register() {
        return register;
    }

    /** Whether this node votes and takes part, or why not; null where it does not vote. */
    public String voterStatus() {
        return voter == null
                ? null
                : voter.inactiveReason() != null ? voter.inactiveReason() : voter.isLeader() ? "leads" : "votes";
    }

    /** Messages that were not taken, by reason. */
    public Map<String, Integer> dropped() {
        return dropped;
    }

    // ---- what this node asks ----

    /** Puts one node in another's place among the voters, or one that lost its disk in its own. */
    public void replace(String leaving, String coming, long wait, Consumer<Register.CommandResult> then) {
        ask(new Entry.Replace(leaving, coming), then, wait);
    }

    /** Asks to be out of service while fewer than {@code most} others are; forced, it is out anyway. */
    public void permit(int most, boolean forced, long wait, Consumer<Register.CommandResult> then) {
        ask(new Entry.Permit(config.node(), most, forced), then, wait);
    }

    /** A node is back in service, or is not to be waited for. */
    public void release(String node, long wait, Consumer<Register.CommandResult> then) {
        ask(new Entry.Release(node), then, wait);
    }

    /** What this voter says of itself, for whoever looks for a fault. */
    public String diagnostics() {
        return "asking " + asking.size() + " " + (voter == null ? "" : voter.diagnostics());
    }

    /** The voters, by the names that they vote under, and whether each votes yet; as this voter knows. */
    public Map<String, Boolean> voters() {
        return voter == null ? Map.of() : voter.members();
    }

    /** It is to own nothing new, and hands over what it has; or no longer so. */
    public void setLeaving(boolean so) {
        leaves = so;
        if (life > 0) {
            ask(new Entry.Leave(config.node(), life, so), answer -> {}, config.leaseMs());
        }
    }

    /** Its life is over by its own wish. */
    public void close(Runnable then) {
        // Danger: what it has goes to others as soon as the log has this, so it is let go of first.
        long its = life;
        life = 0;
        joining = true;
        leaseUntil = Long.MIN_VALUE / 2;
        lose();
        spend();
        ask(new Entry.Close(config.node(), its, "left"), answer -> then.run(), config.leaseMs());
    }

    /** The node's side of the budgets; to be told before the member starts. */
    public void setSpender(BudgetClient its) {
        spender = its;
    }

    /** How the spender sees this member. */
    public BudgetClient.MemberLink budgetLink() {
        return new BudgetClient.MemberLink() {
            @Override
            public long life() {
                return life;
            }

            @Override
            public long leaseUntil() {
                return plants.contains(InjectedFault.PART_KEPT) ? Long.MAX_VALUE / 2 : leaseUntil;
            }

            @Override
            public void request(String budget, int wants, int keeps, long turn, IntConsumer then) {
                ask(
                        new Entry.RequestBudget(config.node(), life, budget, wants, keeps, turn),
                        answer -> then.accept(answer == null || !answer.accepted() ? -1 : (int) answer.value()),
                        config.leaseMs());
            }
        };
    }

    private void spend() {
        if (spender != null) {
            spender.applyView(JSON.createArrayNode());
        }
    }

    /**
     * Wants a piece at a node, or at nobody in particular; the answer comes within so many milliseconds, or
     * null.
     */
    public void transfer(String piece, String to, long wait, Consumer<Register.CommandResult> then) {
        ask(new Entry.Transfer(piece, to), then, wait);
    }

    /**
     * Claims an act. The answer comes once, within the lease, never from within this call. GRANTED is given only
     * for a claim that the log has under this node's epoch.
     *
     * @param again an act of unknown end is to be done once more, where that does no harm
     */
    public void claim(String piece, long act, boolean again, Consumer<ClaimResult> then) {
        long epoch = epoch(piece);
        if (epoch == 0 || held.get(piece).leaving || plants.contains(InjectedFault.CLAIM_SKIPPED)) {
            ground.after(
                    0,
                    () -> then.accept(
                            epoch > 0 && plants.contains(InjectedFault.CLAIM_SKIPPED)
                                    ? ClaimResult.GRANTED
                                    : ClaimResult.RETRY));
            return;
        }
        ask(
                new Entry.Claim(piece, epoch, act, again),
                answer -> then.accept(
                        answer == null
                                ? ClaimResult.UNKNOWN
                                : answer.accepted()
                                        ? ClaimResult.GRANTED
                                        : answer.reason().equals(Register.ALREADY_CLAIMED)
                                                ? ClaimResult.REFUSED
                                                : ClaimResult.RETRY),
                Math.max(config.heartbeatMs(), leaseUntil - ground.millis()));
    }

    /**
     * A claimed act has ended; told until the log has it. Danger: acts that stay open use up the piece's
     * room.
     */
    public void done(String piece, long epoch, long act) {
        ask(
                new Entry.Done(piece, epoch, act),
                answer -> {
                    if (answer == null && !stopped) {
                        ground.after(config.heartbeatMs(), () -> done(piece, epoch, act));
                    }
                },
                config.leaseMs());
    }

    /** @param then the answer, or null where none came for so long */
    private void ask(Entry entry, Consumer<Register.CommandResult> then, long wait) {
        if (asking.size() >= ASKING) {
            drop("questions beyond " + ASKING);
            ground.after(0, () -> then.accept(null));
            return;
        }
        long id = nextId++;
        asking.put(id, new Question(entry, then, ground.millis() + wait));
        ask(id);
    }

    private void ask(long id) {
        Question question = asking.get(id);
        if (question == null || stopped) {
            return;
        } else if (ground.millis() >= question.until) {
            asking.remove(id);
            question.then.accept(null);
            return;
        }
        sendToLeader(LeaderService.message("ask")
                .put("id", id)
                .put("process", config.process())
                .put("entry", Register.text(question.entry)));
        ground.after(Math.max(1, Math.min(2 * config.heartbeatMs(), question.until - ground.millis())), () -> {
            if (asking.containsKey(id)) {
                leaderUnheard();
                ask(id);
            }
        });
    }

    // ---- the lease ----

    private void renewal() {
        if (stopped) {
            return;
        }
        if (!inLease()) {
            lose();
        }
        if (life == 0) {
            join();
        } else {
            sendToLeader(LeaderService.message("renew").put("life", life).put("at", ground.millis()));
        }
        if (ground.millis() >= leaseUntil - config.leaseMs() / 2) {
            leaderUnheard();
        }
        ground.after(Math.max(1, config.leaseMs() / RENEWALS), this::renewal);
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
                        // Danger: two processes of one name would take it from each other for ever. One that had a
                        // life gives way; one that is new and was started by a clock that went back goes on.
                        replaced = lived;
                        boot = answer.value() + 1;
                    } else if (answer != null && answer.accepted()) {
                        lived = true;
                        life = answer.value();
                        if (leaves) {
                            setLeaving(true);
                        }
                        sendToLeader(
                                LeaderService.message("renew").put("life", life).put("at", ground.millis()));
                    }
                },
                config.leaseMs());
    }

    /**
     * Nothing is this node's any more, as far as it knows. Danger: taken up again under the same epoch, a
     * piece would come with acts that this node has done and forgotten; it must come back under another.
     */
    private void lose() {
        for (Map.Entry<String, Held> each : List.copyOf(held.entrySet())) {
            held.remove(each.getKey());
            letGo.put(each.getKey(), each.getValue().epoch);
            duty.lost(each.getKey(), each.getValue().epoch);
        }
    }

    private void yieldOnce(String piece, long epoch) {
        if (yielding.add(piece)) {
            ask(new Entry.Yield(piece, epoch), answer -> yielding.remove(piece), config.leaseMs());
        }
    }

    private void viewed(JsonNode view) {
        long at = view.path("at").asLong(-1);
        long of = view.path("as_of").asLong(-1);
        long its = view.path("life").asLong(0);
        if (of < asOf || life == 0) {
            // Danger: an old word, late on its way, would bring back what this node let go of.
            return;
        }
        asOf = of;
        members(view);
        if (!inLease()) {
            // Danger: it ran out and nobody noticed; renewed as if it had not, whoever stopped would stay
            // stopped.
            lose();
        }
        if (its != life) {
            // Another process of this name took its place, or it was not heard for too long.
            life = 0;
            leaseUntil = Long.MIN_VALUE / 2;
            alone = ground.millis();
            lose();
            spend();
            return;
        }
        if (at >= 0 && at <= ground.millis()) {
            // Danger: counted from the asking, so that it ends here before the leader's patience does there.
            long until = plants.contains(InjectedFault.LEASE_WITHOUT_MARGIN)
                    ? ground.millis() + 3 * config.leaseMs()
                    : at + (long) (config.leaseMs() * (1 - config.clockDrift()));
            leaseUntil = Math.max(leaseUntil, until);
            alone = Math.max(alone, leaseUntil);
        }
        if (spender != null) {
            spender.applyView(view.path("budgets"));
        }
        if (inLease()) {
            hold(view.path("pieces"));
        }
    }

    /** Who votes may change; nodes ask them, and those that the file names, for the leader. */
    private void members(JsonNode view) {
        Set<String> members = new TreeSet<>();
        view.path("members").forEach(one -> members.add(one.asText()));
        Set<String> nodes = new LinkedHashSet<>(config.voters());
        members.stream().limit(SEATS).forEach(one -> nodes.add(Voter.node(one)));
        if (!seats.equals(List.copyOf(nodes))) {
            seats = List.copyOf(nodes);
            leaderAt = 0;
        }
        if (voter != null) {
            voter.updateMembers(members, view.path("members_since").asLong());
        }
    }

    private void hold(JsonNode pieces) {
        Set<String> named = new HashSet<>();
        for (JsonNode one : pieces) {
            String piece = one.path("piece").asText();
            long epoch = one.path("epoch").asLong();
            if (epoch <= letGo.getOrDefault(piece, 0L)) {
                // Danger: it is another's by now, or the log has not heard that this node let go, or never
                // will.
                yieldOnce(piece, epoch);
                continue;
            }
            named.add(piece);
            Held had = held.get(piece);
            if (had != null && had.epoch != epoch) {
                held.remove(piece);
                duty.lost(piece, had.epoch);
                had = null;
            }
            if (had == null) {
                had = new Held(epoch);
                held.put(piece, had);
                TreeSet<Long> unknown = new TreeSet<>();
                one.path("unknown").forEach(act -> unknown.add(act.asLong()));
                duty.owns(piece, epoch, one.path("last").asLong(), unknown);
            }
            if (!one.path("stays").asBoolean(true) && !had.leaving) {
                had.leaving = true;
                duty.handOver(piece, epoch, () -> ground.after(0, () -> letGo(piece, epoch)));
            }
        }
        for (String piece : new ArrayList<>(held.keySet())) {
            if (!named.contains(piece)) {
                duty.lost(piece, held.remove(piece).epoch);
            }
        }
    }

    private void letGo(String piece, long epoch) {
        Held had = held.get(piece);
        if (had != null && had.epoch == epoch && !stopped) {
            held.remove(piece);
            letGo.put(piece, epoch);
            duty.lost(piece, epoch);
            yieldOnce(piece, epoch);
        }
    }

    // ---- the wire ----

    private void leaderUnheard() {
        leader = null;
        leaderAt = (leaderAt + 1) % seats.size();
    }

    /**
     * To whoever leads, as far as is known; and, where no word has come of it for half a lease, also by way
     * of another voter. Danger: one link that is cut would otherwise end a life that all the others hear.
     */
    private void sendToLeader(ObjectNode message) {
        String to = voter != null && voter.leader() != null
                ? voter.leader()
                : leader != null ? leader : seats.get(leaderAt);
        String other = seats.get((leaderAt + 1 + ways++ % seats.size()) % seats.size());
        if (!plants.contains(InjectedFault.NO_DETOUR)
                && ground.millis() >= leaseUntil - config.leaseMs() / 2
                && !other.equals(config.node())
                && !other.equals(to)) {
            by(other, LEADER, message.deepCopy());
        }
        send(to, message);
    }

    /** By way of another member, since the straight way may be cut. */
    private void by(String way, String to, ObjectNode message) {
        sign(message);
        send(way, LeaderService.message("by").put("to", to).set("message", message));
    }

    private ObjectNode sign(ObjectNode message) {
        return message.put("cluster", config.cluster()).put("from", config.node());
    }

    private void send(String to, ObjectNode message) {
        sign(message);
        byte[] bytes = message.toString().getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_MESSAGE_BYTES) {
            drop("too long to send: " + message.path("kind").asText());
        } else if (to.equals(config.node())) {
            ground.after(0, () -> receive(bytes));
        } else {
            ground.send(to, bytes);
        }
    }

    private void drop(String reason) {
        // Danger: reasons come from outside, too; so many kinds are kept apart and no more.
        dropped.merge(dropped.size() < 64 ? reason : "others", 1, Integer::sum);
    }

    /** A message came in, from whomever. Gives the name that it comes under; null where it was not taken. */
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
                heard(from, message, this::send);
                return from;
            }
        } catch (JsonProcessingException e) {
            drop("no JSON");
        } catch (IOException | MalformedMessageException e) {
            drop(e.getMessage());
        }
        return null;
    }

    /** @param back the way that an answer goes */
    private void heard(String from, JsonNode message, BiConsumer<String, ObjectNode> back)
            throws MalformedMessageException, IOException {
        String kind = message.path("kind").asText();
        switch (kind) {
            case "raft" -> {
                if (voter == null) {
                    throw new MalformedMessageException("raft: this node does not vote");
                }
                voter.receive(from, message.path("raft"));
            }
            case "ask", "renew" -> serve(from, kind, message, back);
            case "by" -> passOn(from, message.path("to").asText(), message.path("message"));
            case "seat" -> {
                if (voter == null) {
                    throw new MalformedMessageException("seat: this node has no store to vote with");
                }
                voter.acceptAssignment(message.path("seat"));
            }
            case "told" -> {
                // Danger: an answer to the process before this one would pass for an answer to this one.
                Question question = message.path("process").asText().equals(config.process())
                        ? asking.remove(message.path("id").asLong())
                        : null;
                if (question != null) {
                    question.then.accept(new Register.CommandResult(
                            message.path("done").asBoolean(),
                            message.path("why").asText(),
                            message.path("number").asLong()));
                }
            }
            case "view" -> {
                leader = from;
                viewed(message);
            }
            case "where" -> {
                String named = message.path("leader").asText("");
                leader = named.isEmpty() || named.equals(config.node()) ? null : named;
            }
            default -> throw new MalformedMessageException("kind: '" + kind + "' is none of this build's");
        }
    }

    /**
     * What another member can't send straight. Danger: passed on as it is, it could go round for ever; one
     * that came by another is for this node, and its answer goes the way it came.
     */
    private void passOn(String way, String to, JsonNode message) throws MalformedMessageException, IOException {
        if (!(message instanceof ObjectNode inner)
                || inner.path("kind").asText().equals("by")
                || !inner.path("cluster").asText().equals(config.cluster())) {
            throw new MalformedMessageException("by: holds no message of this cluster");
        }
        // Danger: who can't reach the leader may not know any more who it is; whoever is on the way does.
        String its = !to.equals(LEADER) ? to : voter != null && voter.isLeader() ? config.node() : leader();
        if (its == null) {
            drop("by: no leader is known here");
        } else if (its.equals(config.node())) {
            heard(inner.path("from").asText(), inner, (from, answer) -> {
                by(way, from, answer.deepCopy());
                send(from, answer);
            });
        } else if (!way.equals(its)) {
            send(its, LeaderService.message("by").put("to", its).set("message", inner));
        }
    }

    private void serve(String from, String kind, JsonNode message, BiConsumer<String, ObjectNode> back)
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
                leaderService.asked(
                        back,
                        from,
                        message.path("process").asText(),
                        message.path("id").asLong(),
                        Register.entry(message.path("entry").asText()));
            } catch (JsonProcessingException e) {
                throw new MalformedMessageException("entry: is none of this build's");
            }
        }
    }
}
