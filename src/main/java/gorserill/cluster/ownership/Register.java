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
 * The register of nodes, pieces and acts. The same entries in the same order give the same register at every
 * voter. What it promises rests on that order alone, on no time:
 *
 * <ul>
 * <li>a piece has one owner at a time, and each owner an epoch of its own, higher than any before;
 * <li>an act is claimed by the owner of the present epoch or not at all, and once, or once more where it was
 * said that this does no harm;
 * <li>what was claimed and has no known end when its owner's life is over stays so ({@code UNKNOWN}) until
 * its end is told, and is never given to another as if it were new.
 * </ul>
 */
public final class Register implements Voter.ReplicatedState {
    /**
     * Acts of a piece that are claimed and not done, at the most. Danger: unbounded, a stuck owner fills it.
     */
    public static final int MAX_OPEN_ACTS = 32;

    private static final int PIECES = 1_000;
    private static final int NAMES = 1_000;
    /** Why an act may not be claimed: it was before. */
    public static final String ALREADY_CLAIMED = "that act was claimed";
    /** Why a life is over whose node said nothing for longer than its lease. */
    public static final String NOT_HEARD = "not heard";
    /** Why a life is over whose node came back as another process. */
    public static final String REPLACED = "replaced";
    /** Why a node is out of service that asked first. */
    public static final String WITH_PERMIT = "permit";
    /** Why a process may not open a life: there is a newer one of its name. */
    public static final String NEWER_PROCESS_KNOWN = "a newer process of that name";
    /** Danger: a later build's fields must not keep this one from reading what it knows. */
    private static final ObjectMapper JSON = new ObjectMapper()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY);

    /** What an entry's author is told. */
    public record CommandResult(boolean accepted, String reason, long value) {
        static CommandResult accepted(long number) {
            return new CommandResult(true, "", number);
        }

        static CommandResult refused(String why) {
            return new CommandResult(false, why, 0);
        }
    }

    /** What the authors of an entry of several are told, in its order. */
    public record CommandResults(List<CommandResult> results) {}

    /** A node's present life. */
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
        /** Empty where nobody owns it. */
        public String owner = "";
        /** Whom it is to go to, where an operator said so; else empty. */
        public String wanted = "";
        /** The highest act that was claimed. */
        public long last;
        /** Acts that are claimed and whose end was not told, with the epoch of their claim. */
        public TreeMap<Long, Long> open = new TreeMap<>();
        /** Those of them whose owner's life was over first. */
        public TreeSet<Long> unknown = new TreeSet<>();
    }

    /** The newest process of a name, alive or not. */
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
        /** The newest format of any entry so far. */
        public int format = 1;

        public BudgetShares parts = new BudgetShares();
    }

    /** One node is being put in another's place among the voters, as this entry of the log says. */
    public static final class VoterReplacement {
        public String leaving;
        public String coming;
        public long entry;
    }

    private State state = new State();
    /** Faults that can be planted, so that checks are seen to find them. */
    public enum Defect {
        /** A new owner goes on under the epoch of the one before. */
        EPOCH_NOT_KEPT,
        /** Permits are given whoever is out. */
        PERMITS_UNCOUNTED,
        /** Parts of budgets grow whatever the others have. */
        PARTS_OVER
    }

    private final Set<Defect> flaws;

    public Register(Set<Defect> flaws) {
        this.flaws = flaws;
    }

    public Map<String, Node> nodes() {
        return state.nodes;
    }

    public Map<String, Piece> pieces() {
        return state.pieces;
    }

    /** The newest format that all nodes know; entries of a later one are not to be put into the log yet. */
    public int format() {
        return state.nodes.values().stream()
                .mapToInt(node -> Math.max(1, node.format))
                .min()
                .orElse(Entry.FORMAT);
    }

    /** What is under way among the voters; null for nothing. */
    public VoterReplacement replacing() {
        return state.replacing;
    }

    /** Who has which part of the budgets. */
    public BudgetShares budgetShares() {
        return state.parts;
    }

    /** The nodes that are out of service, and why: by permit, or gone unheard. */
    public Map<String, String> outOfService() {
        return state.out;
    }

    /** The text of an entry, as the log keeps it. */
    public static String text(Entry entry) {
        try {
            return JSON.writerFor(Entry.class).writeValueAsString(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** @throws JsonProcessingException where it is no entry of this build */
    public static Entry entry(String text) throws JsonProcessingException {
        return JSON.readValue(text, Entry.class);
    }

    @Override
    public Object apply(long index, String text) {
        Entry entry;
        try {
            entry = entry(text);
        } catch (JsonProcessingException e) {
            // An entry of a later build: every voter of this build leaves it out alike.
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
            return letGo(yield);
        } else if (entry instanceof Entry.Transfer transfer) {
            return transfer(transfer);
        } else if (entry instanceof Entry.Claim claim) {
            return claim(claim);
        } else if (entry instanceof Entry.Replace replace) {
            return replace(index, replace);
        } else if (entry instanceof Entry.Replaced replaced) {
            boolean its = state.replacing != null && state.replacing.entry == replaced.entry();
            state.replacing = its ? null : state.replacing;
            return its ? CommandResult.accepted(replaced.entry()) : CommandResult.refused("that is not under way");
        } else if (entry instanceof Entry.Permit permit) {
            return permit(permit);
        } else if (entry instanceof Entry.RequestBudget request) {
            return requestBudget(request);
        } else if (entry instanceof Entry.RequestBudgets all) {
            return new CommandResults(
                    all.each().stream().map(this::requestBudget).toList());
        } else if (entry instanceof Entry.ReclaimShare bury) {
            return state.parts.releaseGhost(bury.ghost())
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
        remember(open);
        Node fresh = new Node();
        fresh.life = index;
        fresh.process = open.process();
        fresh.build = open.build();
        fresh.format = open.format();
        fresh.pieces.addAll(open.pieces());
        state.nodes.put(open.node(), fresh);
        state.out.remove(open.node(), NOT_HEARD);
        for (String piece : open.pieces()) {
            if (state.pieces.size() < PIECES) {
                state.pieces.computeIfAbsent(piece, p -> new Piece());
            }
        }
        assign();
        return CommandResult.accepted(index);
    }

    /** Names that are gone are forgotten one by one when there are too many. */
    private void remember(Entry.Open open) {
        LatestProcess newest = new LatestProcess();
        newest.process = open.process();
        newest.boot = open.boot();
        state.newest.put(open.node(), newest);
        if (state.newest.size() > NAMES) {
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
        if (why.equals(NOT_HEARD) && state.out.size() < NAMES) {
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

    private CommandResult letGo(Entry.Yield yield) {
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
        } else if (!transfer.to().isEmpty() && !able(transfer.to(), transfer.piece())) {
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

    /** Those that went unheard are out of service, too, until they are back or said to be gone for good. */
    private CommandResult permit(Entry.Permit permit) {
        List<String> others = state.out.keySet().stream()
                .filter(n -> !n.equals(permit.node()))
                .toList();
        boolean room = others.size() < permit.most() || flaws.contains(Defect.PERMITS_UNCOUNTED);
        if ((room || permit.forced()) && (others.size() < NAMES || state.out.containsKey(permit.node()))) {
            state.out.put(permit.node(), room ? WITH_PERMIT : "without permit");
        }
        return room
                ? CommandResult.accepted(others.size() + 1)
                : CommandResult.refused("out of service already: "
                        + String.join(" ", others.subList(0, Math.min(9, others.size()))));
    }

    private CommandResult claim(Entry.Claim claim) {
        Piece piece = state.pieces.get(claim.piece());
        if (piece == null || piece.epoch != claim.epoch() || piece.owner.isEmpty()) {
            return CommandResult.refused("that epoch is over");
        } else if (Long.valueOf(claim.epoch()).equals(piece.open.get(claim.act()))) {
            // The owner asks again, since it did not hear the answer.
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
                        flaws.contains(Defect.PARTS_OVER)));
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

    // ---- who should own what ----

    private boolean able(String name, String piece) {
        Node node = state.nodes.get(name);
        return node != null && !node.leaves && node.pieces.contains(piece);
    }

    /** Who is to own a piece; null where nobody can. */
    public String preferredOwner(String name) {
        Piece piece = state.pieces.get(name);
        if (piece == null) {
            return null;
        } else if (able(piece.wanted, name)) {
            return piece.wanted;
        }
        String best = null;
        long most = 0;
        for (String node : state.nodes.keySet()) {
            if (able(node, name)) {
                long weight = weight(node, name);
                if (best == null || weight > most) {
                    best = node;
                    most = weight;
                }
            }
        }
        return best;
    }

    /** Highest random weight (Thaler and Ravishankar, 1998): who comes or goes moves its own part alone. */
    private static long weight(String node, String piece) {
        CRC32C hash = new CRC32C();
        hash.update((node + "\n" + piece).getBytes(StandardCharsets.UTF_8));
        long z = hash.getValue() * 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        return (z ^ z >>> 27) >>> 1;
    }

    /** Pieces that nobody owns go to their heirs; an owner that is not the heir lets go by itself. */
    private void assign() {
        for (Map.Entry<String, Piece> each : state.pieces.entrySet()) {
            Piece piece = each.getValue();
            String heir = piece.owner.isEmpty() ? preferredOwner(each.getKey()) : null;
            if (heir != null) {
                piece.owner = heir;
                piece.epoch += flaws.contains(Defect.EPOCH_NOT_KEPT) && piece.epoch > 0 ? 0 : 1;
                // What the one before claimed and did not end is for its successor to know as unknown.
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
            throw new IllegalStateException("the snapshot can't be read: " + e.getOriginalMessage(), e);
        }
    }
}
