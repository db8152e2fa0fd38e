package gorserill.cluster.ownership;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorserill.cluster.consensus.Voter;
import gorserill.cluster.shared.BudgetShares;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * The replicated state machine: nodes, pieces of work and claimed acts. Applying the same entries in the same
 * order yields the same state at every voter. Its guarantees depend on that order alone and not on time:
 *
 * <ul>
 * <li>a piece has at most one owner at a time, and each ownership has its own epoch, higher than all earlier
 * ones;
 * <li>an act can be claimed only by the owner under the current epoch, and only once, or once more if the
 * claim states that a repetition is harmless;
 * <li>an act that was claimed and whose end was not reported when its owner's life ended is kept as {@code
 * unknown} until its end is reported; it is never handed out as a new one.
 * </ul>
 */
public final class Register implements Voter.ReplicatedState {
    /**
     * Maximum number of claimed acts of a piece without a reported end. Without a limit, an owner that hangs
     * would fill the register.
     */
    public static final int MAX_OPEN_ACTS = 32;

    private static final int MAX_PIECES = 1_000;
    private static final int MAX_NAMES = 1_000;
    /** Refusal of a claim: the act was claimed before. */
    public static final String ALREADY_CLAIMED = "that act was claimed";
    /** Reason for closing a life: the leader did not hear the node for longer than its lease. */
    public static final String NOT_HEARD = "not heard";
    /** Reason for closing a life: a newer process of the node opened another one. */
    public static final String REPLACED = "replaced";
    /** Reason for being out of service: the node was granted a permit. */
    public static final String WITH_PERMIT = "permit";
    /** Refusal to open a life: a newer process of that name is registered. */
    public static final String NEWER_PROCESS_KNOWN = "a newer process of that name";
    /** Ignores unknown fields, so that this build can read data written by a later one. */
    private static final ObjectMapper JSON = new ObjectMapper()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY);

    /**
     * The result of applying an entry, returned to its proposer.
     *
     * @param reason why the entry was refused; empty if it was accepted
     * @param value depends on the entry, such as the life or the number of the act
     */
    public record CommandResult(boolean accepted, String reason, long value) {
        static CommandResult accepted(long value) {
            return new CommandResult(true, "", value);
        }

        static CommandResult refused(String reason) {
            return new CommandResult(false, reason, 0);
        }
    }

    /** The results of a group entry, in the order of its elements. */
    public record CommandResults(List<CommandResult> results) {}

    /** The current life of a node. */
    public static final class Node {
        public long life;
        public String process;
        public String build;
        public boolean leaves;
        public int format;
        public List<String> pieces = new ArrayList<>();
    }

    /** A piece of work. */
    public static final class Piece {
        public long epoch;
        /** Empty if the piece has no owner. */
        public String owner = "";
        /** The node that an operator assigned the piece to; empty if none. */
        public String wanted = "";
        /** The highest act number claimed so far. */
        public long last;
        /** Claimed acts without a reported end, each with the epoch of its claim. */
        public TreeMap<Long, Long> open = new TreeMap<>();
        /** The open acts whose owner lost the piece before reporting their end. */
        public TreeSet<Long> unknown = new TreeSet<>();
    }

    /** The latest process that used a node name, alive or not. */
    public static final class LatestProcess {
        public String process;
        public long boot;
    }

    private static final class State {
        public TreeMap<String, LatestProcess> newest = new TreeMap<>();
        public TreeMap<String, Node> nodes = new TreeMap<>();
        public TreeMap<String, Piece> pieces = new TreeMap<>();
        public VoterReplacement replacing;
        public TreeMap<String, String> out = new TreeMap<>();
        /** The highest format of any entry applied so far. */
        public int format = 1;

        public BudgetShares parts = new BudgetShares();
    }

    /** A voter replacement in progress; {@code entry} is the index of the log entry that requested it. */
    public static final class VoterReplacement {
        public String leaving;
        public String coming;
        public long entry;
    }

    private State state = new State();
    /** Defects that tests inject to verify that the checks detect them. */
    public enum Defect {
        /** A new owner keeps the epoch of the previous one. */
        EPOCH_NOT_KEPT,
        /** Permits are granted without counting the nodes already out of service. */
        PERMITS_UNCOUNTED,
        /** Budget shares grow without regard to the shares of other nodes. */
        PARTS_OVER
    }

    private final Set<Defect> defects;

    public Register(Set<Defect> defects) {
        this.defects = defects;
    }

    public Map<String, Node> nodes() {
        return state.nodes;
    }

    public Map<String, Piece> pieces() {
        return state.pieces;
    }

    /**
     * The highest format that all registered nodes support; entries of a later format must not be proposed
     * yet.
     */
    public int format() {
        return state.nodes.values().stream()
                .mapToInt(node -> Math.max(1, node.format))
                .min()
                .orElse(Entry.FORMAT);
    }

    /** The voter replacement in progress, or null. */
    public VoterReplacement replacing() {
        return state.replacing;
    }

    /** The shares that the nodes hold of the budgets. */
    public BudgetShares budgetShares() {
        return state.parts;
    }

    /** The nodes out of service with the reason: a permit, or silence for longer than the lease. */
    public Map<String, String> outOfService() {
        return state.out;
    }

    /** Serializes an entry to JSON as stored in the log. */
    public static String text(Entry entry) {
        try {
            return JSON.writerFor(Entry.class).writeValueAsString(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Parses an entry of the log.
     *
     * @throws JsonProcessingException if this build does not know the entry
     */
    public static Entry entry(String text) throws JsonProcessingException {
        return JSON.readValue(text, Entry.class);
    }

    @Override
    public Object apply(long index, String text) {
        Entry entry;
        try {
            entry = entry(text);
        } catch (JsonProcessingException e) {
            // An entry of a later build. All voters of this build skip it, so their states stay equal.
            return CommandResult.refused("no entry of this build");
        }
        state.format = Math.max(state.format, entry.format());
        if (entry instanceof Entry.Open open) {
            return open(index, open);
        } else if (entry instanceof Entry.Close close) {
            return close(close.node(), close.life(), close.why());
        } else if (entry instanceof Entry.Leave leave) {
            Node node = state.nodes.get(leave.node());
            if (node == null || node.life != leave.life()) {
                return CommandResult.refused("that life is over");
            }
            node.leaves = leave.leaves();
            assign();
            return CommandResult.accepted(index);
        } else if (entry instanceof Entry.Yield yield) {
            return yieldPiece(yield);
        } else if (entry instanceof Entry.Transfer transfer) {
            return transfer(transfer);
        } else if (entry instanceof Entry.Claim claim) {
            return claim(claim);
        } else if (entry instanceof Entry.Replace replace) {
            return replace(index, replace);
        } else if (entry instanceof Entry.Replaced replaced) {
            boolean matches = state.replacing != null && state.replacing.entry == replaced.entry();
            state.replacing = matches ? null : state.replacing;
            return matches ? CommandResult.accepted(replaced.entry()) : CommandResult.refused("that is not under way");
        } else if (entry instanceof Entry.Permit permit) {
            return permit(permit);
        } else if (entry instanceof Entry.RequestBudget request) {
            return requestBudget(request);
        } else if (entry instanceof Entry.RequestBudgets all) {
            return new CommandResults(
                    all.each().stream().map(this::requestBudget).toList());
        } else if (entry instanceof Entry.ReclaimShare reclaim) {
            return state.parts.releaseGhost(reclaim.ghost())
                    ? CommandResult.accepted(index)
                    : CommandResult.refused("it is buried");
        } else if (entry instanceof Entry.Release release) {
            return state.out.remove(release.node()) != null
                    ? CommandResult.accepted(0)
                    : CommandResult.refused("it is not out");
        }
        return done((Entry.Done) entry);
    }

    private CommandResult open(long index, Entry.Open open) {
        if (Math.max(1, open.format()) < state.format) {
            return CommandResult.refused("the cluster has gone on to what a later build knows");
        }
        LatestProcess newest = state.newest.get(open.node());
        boolean same = newest != null && newest.process.equals(open.process());
        if (newest != null && !same && open.boot() <= newest.boot) {
            return new CommandResult(false, NEWER_PROCESS_KNOWN, newest.boot);
        }
        Node node = state.nodes.get(open.node());
        if (node != null && same) {
            return CommandResult.accepted(node.life);
        } else if (node != null) {
            close(open.node(), node.life, REPLACED);
        }
        recordProcess(open);
        Node fresh = new Node();
        fresh.life = index;
        fresh.process = open.process();
        fresh.build = open.build();
        fresh.format = open.format();
        fresh.pieces.addAll(open.pieces());
        state.nodes.put(open.node(), fresh);
        state.out.remove(open.node(), NOT_HEARD);
        for (String piece : open.pieces()) {
            if (state.pieces.size() < MAX_PIECES) {
                state.pieces.computeIfAbsent(piece, p -> new Piece());
            }
        }
        assign();
        return CommandResult.accepted(index);
    }

    /** Records the latest process of a name; above the limit, forgets one name that has no live node. */
    private void recordProcess(Entry.Open open) {
        LatestProcess newest = new LatestProcess();
        newest.process = open.process();
        newest.boot = open.boot();
        state.newest.put(open.node(), newest);
        if (state.newest.size() > MAX_NAMES) {
            state.newest.keySet().stream()
                    .filter(name -> !state.nodes.containsKey(name) && !name.equals(open.node()))
                    .findFirst()
                    .ifPresent(state.newest::remove);
        }
    }

    private CommandResult close(String name, long life, String why) {
        Node node = state.nodes.get(name);
        if (node == null || node.life != life) {
            return CommandResult.refused("that life is over");
        }
        state.nodes.remove(name);
        state.parts.endLife(name, life, why.equals(REPLACED));
        if (why.equals(NOT_HEARD) && state.out.size() < MAX_NAMES) {
            state.out.putIfAbsent(name, NOT_HEARD);
        }
        for (Piece piece : state.pieces.values()) {
            if (piece.owner.equals(name)) {
                piece.owner = "";
                piece.unknown.addAll(piece.open.keySet());
            }
        }
        assign();
        return CommandResult.accepted(life);
    }

    private CommandResult yieldPiece(Entry.Yield yield) {
        Piece piece = state.pieces.get(yield.piece());
        if (piece == null || piece.epoch != yield.epoch() || piece.owner.isEmpty()) {
            return CommandResult.refused("that epoch is over");
        }
        piece.owner = "";
        assign();
        return CommandResult.accepted(piece.epoch);
    }

    private CommandResult transfer(Entry.Transfer transfer) {
        Piece piece = state.pieces.get(transfer.piece());
        if (piece == null) {
            return CommandResult.refused("no piece of that name");
        } else if (!transfer.to().isEmpty() && !eligible(transfer.to(), transfer.piece())) {
            return CommandResult.refused("no such node that can own it");
        }
        piece.wanted = transfer.to();
        assign();
        return CommandResult.accepted(piece.epoch);
    }

    private CommandResult replace(long index, Entry.Replace replace) {
        if (!state.nodes.containsKey(replace.coming())) {
            return CommandResult.refused("no node " + replace.coming() + " is there to vote");
        }
        state.replacing = new VoterReplacement();
        state.replacing.leaving = replace.leaving();
        state.replacing.coming = replace.coming();
        state.replacing.entry = index;
        return CommandResult.accepted(index);
    }

    /** Nodes closed because they were not heard count as out of service until they return or are released. */
    private CommandResult permit(Entry.Permit permit) {
        List<String> others = state.out.keySet().stream()
                .filter(n -> !n.equals(permit.node()))
                .toList();
        boolean permitted = others.size() < permit.most() || defects.contains(Defect.PERMITS_UNCOUNTED);
        if ((permitted || permit.forced()) && (others.size() < MAX_NAMES || state.out.containsKey(permit.node()))) {
            state.out.put(permit.node(), permitted ? WITH_PERMIT : "without permit");
        }
        return permitted
                ? CommandResult.accepted(others.size() + 1)
                : CommandResult.refused("out of service already: "
                        + String.join(" ", others.subList(0, Math.min(9, others.size()))));
    }

    private CommandResult claim(Entry.Claim claim) {
        Piece piece = state.pieces.get(claim.piece());
        if (piece == null || piece.epoch != claim.epoch() || piece.owner.isEmpty()) {
            return CommandResult.refused("that epoch is over");
        } else if (Long.valueOf(claim.epoch()).equals(piece.open.get(claim.act()))) {
            // The owner repeats the claim because it did not receive the answer.
            return CommandResult.accepted(claim.act());
        } else if (claim.again() && piece.unknown.remove(claim.act())) {
            piece.open.put(claim.act(), claim.epoch());
            return CommandResult.accepted(claim.act());
        } else if (claim.act() <= piece.last) {
            return CommandResult.refused(ALREADY_CLAIMED);
        } else if (piece.open.size() >= MAX_OPEN_ACTS) {
            return CommandResult.refused("too many acts are open");
        }
        piece.last = claim.act();
        piece.open.put(claim.act(), claim.epoch());
        return CommandResult.accepted(claim.act());
    }

    private CommandResult requestBudget(Entry.RequestBudget request) {
        Node node = state.nodes.get(request.node());
        return node == null || node.life != request.life()
                ? CommandResult.refused("that life is over")
                : CommandResult.accepted(state.parts.request(
                        request.node(),
                        request.budget(),
                        request.wants(),
                        request.keeps(),
                        request.turn(),
                        defects.contains(Defect.PARTS_OVER)));
    }

    private CommandResult done(Entry.Done done) {
        Piece piece = state.pieces.get(done.piece());
        if (piece == null || !Long.valueOf(done.epoch()).equals(piece.open.get(done.act()))) {
            return CommandResult.refused("that act is not open under that epoch");
        }
        piece.open.remove(done.act());
        piece.unknown.remove(done.act());
        return CommandResult.accepted(done.act());
    }

    // ---- assignment of pieces ----

    private boolean eligible(String name, String piece) {
        Node node = state.nodes.get(name);
        return node != null && !node.leaves && node.pieces.contains(piece);
    }

    /**
     * The node that should own a piece: the one chosen by an operator if it is eligible, else the one of the
     * highest weight; null if no node is eligible.
     */
    public String preferredOwner(String name) {
        Piece piece = state.pieces.get(name);
        if (piece == null) {
            return null;
        } else if (eligible(piece.wanted, name)) {
            return piece.wanted;
        }
        String best = null;
        long most = 0;
        for (String node : state.nodes.keySet()) {
            if (eligible(node, name)) {
                long weight = weight(node, name);
                if (best == null || weight > most) {
                    best = node;
                    most = weight;
                }
            }
        }
        return best;
    }

    /**
     * Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): a node that joins or leaves
     * moves only its own pieces.
     */
    private static long weight(String node, String piece) {
        CRC32C hash = new CRC32C();
        hash.update((node + "\n" + piece).getBytes(StandardCharsets.UTF_8));
        long z = hash.getValue() * 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        return (z ^ z >>> 27) >>> 1;
    }

    /**
     * Assigns pieces without an owner to their preferred owners. An owner that is no longer the preferred one
     * yields by itself.
     */
    private void assign() {
        for (Map.Entry<String, Piece> entry : state.pieces.entrySet()) {
            Piece piece = entry.getValue();
            String heir = piece.owner.isEmpty() ? preferredOwner(entry.getKey()) : null;
            if (heir != null) {
                piece.owner = heir;
                piece.epoch += defects.contains(Defect.EPOCH_NOT_KEPT) && piece.epoch > 0 ? 0 : 1;
                // The new owner must treat acts that the previous one left open as unknown.
                piece.unknown.addAll(piece.open.keySet());
            }
        }
    }

    @Override
    public String snapshot() {
        try {
            return JSON.writeValueAsString(state);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void restore(String snapshot) {
        try {
            state = snapshot == null ? new State() : JSON.readValue(snapshot, State.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't parse the snapshot: " + e.getOriginalMessage(), e);
        }
    }
}
