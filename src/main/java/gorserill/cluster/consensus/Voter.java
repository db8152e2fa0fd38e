package gorserill.cluster.consensus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.MalformedMessageException;
import io.microraft.MembershipChangeMode;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * One of the few members that keep the replicated log. All of it runs on the member's thread. What it
 * promises rests on a quorum of voters and their disks alone; times only say when a leader is given up.
 */
public final class Voter {
    /** Entries in one message: each is below a kilobyte, and a message must fit a datagram. */
    private static final int ENTRIES = 4;

    private static final int PENDING = 256;
    private static final int ENTRIES_KEPT = 512;
    /** The library counts heartbeats in seconds; one of them lasts as long as the settings say. */
    private static final long SECOND = 1_000;

    private static final int BEATS_TO_GIVE_UP = 5;
    /** So many times as long without a sign, and a follower is stuck. */
    private static final int STUCK = 4;
    /** Refusals of the same entries one after another, and a follower is stuck. */
    private static final int REFUSALS = 20;
    /** Characters in a piece of a snapshot. */
    private static final int CHUNK = 3_000;

    /** What the log is applied to; the same entries in the same order give the same state everywhere. */
    public interface ReplicatedState {
        /** Gives what the entry's author is told. */
        Object apply(long index, String entry);

        String snapshot();

        /** Takes over a snapshot; null for the state before any entry. */
        void restore(String snapshot);
    }

    private final ClusterEnvironment ground;
    private final RaftCodec codec;
    private final long beat;
    private final BiConsumer<String, JsonNode> send;
    private final ReplicatedState book;
    private final Consumer<Boolean> leads;
    private final VoterStore store;
    private final String group;
    private final String name;
    private final Collection<String> voters;
    private final Random random;
    private final Bootstrap founding;
    private final StableStorage shelf;
    /** The name that it votes under; empty where it has no place among the voters. */
    private String voter;

    private Collection<String> first;
    private long since;
    private boolean changing;
    /** Null before the first one. */
    private RaftNodeReport lastReport;

    private int refused;
    private long refusedFrom;
    private RaftNode raft;
    private Life life;
    private String leader;
    private boolean leading;
    private long applied;
    private boolean ended;
    private String broken;

    /**
     * @param group the cluster's name
     * @param voters the names of the first voters, this one among them; what the shelf says goes before it
     * @param beat milliseconds between a leader's signs
     * @param send where messages to other voters go
     * @param leads is told when this voter begins to lead, and when it no longer does
     * @throws MalformedMessageException where what the shelf holds can't be read; it names the key
     */
    public Voter(
            String group,
            String name,
            Collection<String> voters,
            long beat,
            long seed,
            ClusterEnvironment ground,
            StableStorage shelf,
            BiConsumer<String, JsonNode> send,
            ReplicatedState book,
            Consumer<Boolean> leads)
            throws MalformedMessageException {
        this.ground = ground;
        this.beat = beat;
        this.send = send;
        this.book = book;
        this.leads = leads;
        this.group = group;
        this.name = name;
        this.voters = voters;
        this.shelf = shelf;
        random = new Random(seed);
        codec = new RaftCodec(group);
        store = new VoterStore(shelf, codec, this::storeFailed);
        VoterAssignment seat = VoterAssignment.load(shelf);
        voter = seat != null ? seat.voter() : voters.contains(name) ? name : "";
        first = seat != null ? seat.first() : voters;
        since = seat != null ? seat.since() : 0;
        build();
        founding = new Bootstrap(
                name,
                voters,
                beat,
                ground,
                shelf,
                (to, message) ->
                        this.send(to, JsonNodeFactory.instance.objectNode().set("founding", message)),
                this::takePart,
                this::storeFailed);
    }

    private void takePart() {
        if (raft != null) {
            raft.start();
        }
    }

    /** The library's node, as what the store holds makes it. */
    private void build() throws MalformedMessageException {
        life = null;
        raft = null;
        if (voter.isEmpty()) {
            return;
        }
        RestoredRaftState restored = store.load();
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(SECOND)
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(BEATS_TO_GIVE_UP)
                .setAppendEntriesRequestBatchSize(ENTRIES)
                .setMaxPendingLogEntryCount(PENDING)
                .setCommitCountToTakeSnapshot(ENTRIES_KEPT)
                .setRaftNodeReportPublishPeriodSecs(1)
                .build();
        life = new Life();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(group)
                .setConfig(config)
                .setExecutor(life)
                .setTransport(life)
                .setStateMachine(life)
                .setStore(store)
                .setModelFactory(codec.models())
                .setRandom(new Random(random.nextLong()))
                .setClock(new ScaledClock())
                .setRaftNodeReportListener(life::reported);
        if (restored == null) {
            List<RaftEndpoint> members = new ArrayList<>();
            first.forEach(one -> members.add(new VoterEndpoint(one)));
            builder.setLocalEndpoint(new VoterEndpoint(voter)).setInitialGroupMembers(members);
        } else {
            builder.setRestoredState(restored);
        }
        raft = builder.build();
    }

    /**
     * Danger: after votes and signs that crossed, the library's node (0.7) was seen to follow a leader for
     * good that was long gone. One that does is made anew from its store, as if its process had been
     * restarted.
     */
    private void unstick(RaftNodeReport report) {
        long heard = report.getLeaderHeartbeatTimestamp().orElse(0L);
        boolean follows =
                report.getRole() == RaftRole.FOLLOWER && report.getTerm().getLeaderEndpoint() != null;
        if (!follows || heard <= 0 || ground.millis() - heard * beat / SECOND < beat * BEATS_TO_GIVE_UP * STUCK) {
            return;
        }
        anew();
    }

    private void anew() {
        try {
            reported(false, null);
            applied = 0;
            book.restore(null);
            build();
            takePart();
        } catch (MalformedMessageException e) {
            storeFailed(new IOException(e.getMessage()));
        }
    }

    // ---- who votes ----

    /**
     * The voters and those that are to become voters, by the names that they vote under; empty if unknown.
     */
    public Map<String, Boolean> members() {
        Map<String, Boolean> members = new TreeMap<>();
        if (raft != null) {
            RaftGroupMembers its = raft.getCommittedMembers();
            its.getMembers()
                    .forEach(one -> members.put(
                            RaftCodec.name(one), its.getVotingMembers().contains(one)));
        }
        return members;
    }

    /** The entry of the log that made the members what they are; 0 for those it was founded with. */
    public long membersSince() {
        return raft == null ? 0 : raft.getCommittedMembers().getLogIndex();
    }

    /** What the library's node says of itself, for whoever looks for a fault. */
    public String diagnostics() {
        return raft == null
                ? "none"
                : raft.getTerm() + " " + raft.getStatus() + " "
                        + raft.getCommittedMembers()
                        + " applied " + applied + " changing " + changing
                        + (lastReport == null
                                ? ""
                                : " " + lastReport.getRole() + " " + lastReport.getLog() + " "
                                        + lastReport.getEffectiveMembers());
    }

    /** The node of a voter. */
    public static String node(String voter) {
        return VoterEndpoint.node(voter);
    }

    /** Whether a node votes in the place that an entry of the log gave it. */
    public boolean votes(String node, long entry) {
        return members().getOrDefault(VoterEndpoint.name(node, entry), false);
    }

    /** The nodes of the voters, and of those that are to become voters. */
    public Set<String> voterNodes() {
        Set<String> nodes = new TreeSet<>();
        members().keySet().forEach(one -> nodes.add(VoterEndpoint.node(one)));
        return nodes;
    }

    /**
     * Does the next step of putting one node in another's place, if this voter leads: it comes in as one that
     * listens, votes once it has the log, and only then the other goes. Danger: done in another order, or two
     * steps at once, a cluster that has lost a voter would be without a majority meanwhile.
     *
     * @param leaving the node that is to vote no more
     * @param coming the node that is to vote
     * @param entry the log's entry that says so
     * @param seat is given what the node that comes must be told, as long as it must
     * @return whether nothing is left to be done
     */
    public boolean replace(String leaving, String coming, long entry, Consumer<JsonNode> seat) {
        String fresh = VoterEndpoint.name(coming, entry);
        Map<String, Boolean> members = members();
        if (changing || !isLeader()) {
            return false;
        } else if (!members.containsKey(fresh)) {
            change(fresh, MembershipChangeMode.ADD_LEARNER);
        } else if (!members.get(fresh)) {
            List<String> founders = new ArrayList<>();
            raft.getInitialMembers().getMembers().forEach(one -> founders.add(RaftCodec.name(one)));
            seat.accept(new VoterAssignment(fresh, founders, membersSince()).toJson());
            promote(fresh);
        } else {
            for (Map.Entry<String, Boolean> one : members.entrySet()) {
                boolean goes = VoterEndpoint.node(one.getKey()).equals(leaving) || !one.getValue();
                if (goes && !one.getKey().equals(fresh)) {
                    change(one.getKey(), MembershipChangeMode.REMOVE_MEMBER);
                    return false;
                }
            }
            return true;
        }
        return false;
    }

    private void promote(String fresh) {
        RaftNode its = raft;
        changing = true;
        its.getReport()
                .whenComplete((report, fault) -> ground.after(0, () -> {
                    changing = false;
                    if (fault == null && raft == its && !ended) {
                        var log = report.getResult().getLog();
                        if (log.getFollowerMatchIndices().getOrDefault(new VoterEndpoint(fresh), 0L)
                                >= log.getCommitIndex() - ENTRIES) {
                            change(fresh, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                        }
                    }
                }));
    }

    private void change(String who, MembershipChangeMode how) {
        changing = true;
        RaftNode its = raft;
        its.changeMembership(new VoterEndpoint(who), how, membersSince())
                .whenComplete((result, fault) -> ground.after(0, () -> {
                    changing = false;
                }));
    }

    /** A leader gives this node a place among the voters. One that has a place keeps it. */
    public void acceptAssignment(JsonNode text) throws MalformedMessageException {
        VoterAssignment seat = VoterAssignment.parse(text, "seat");
        boolean free = voter.isEmpty() || founding.stateLost();
        if (ended || !free || !VoterEndpoint.node(seat.voter()).equals(name) || seat.since() <= since) {
            return;
        }
        take(seat);
    }

    private void take(VoterAssignment seat) {
        try {
            seat.save(shelf);
        } catch (IOException e) {
            storeFailed(e);
            return;
        }
        founding.markComplete();
        voter = seat.voter();
        first = seat.first();
        since = seat.since();
        anew();
    }

    /**
     * Hears, from a leader that a quorum confirmed, who the members are. Danger: one that is none of them any
     * more would go on asking for votes; it keeps no log, and never comes back under its name.
     */
    public void updateMembers(Set<String> members, long as) {
        if (!ended
                && !voter.isEmpty()
                && founding.isComplete()
                && as > since
                && !members.isEmpty()
                && !members.contains(voter)) {
            take(new VoterAssignment("", List.copyOf(first), as));
        }
    }

    /** Plants a fault: a voter whose store is empty goes on as if the cluster had been founded with it. */
    public static void injectFounded(StableStorage shelf) {
        shelf.put(Bootstrap.KEY, Bootstrap.Stage.FOUNDED.name());
    }

    public void start() {
        founding.start();
    }

    private void send(String to, JsonNode message) {
        if (!ended) {
            send.accept(to, message);
        }
    }

    /** Takes no further part; what it promised stays on its shelf. */
    public void stop() {
        ended = true;
    }

    /** Why this voter takes no part, or null where it does. */
    public String inactiveReason() {
        return broken != null
                ? broken
                : founding.stateLost()
                        ? "its store is empty, but the cluster was founded: it must be replaced"
                        : voter.isEmpty()
                                ? since > 0 ? "another has its place" : "spare"
                                : founding.isComplete() ? null : "waits for all voters to be there for the first time";
    }

    /** A message of another voter. */
    public void receive(String from, JsonNode message) throws MalformedMessageException {
        if (ended) {
            return;
        } else if (message.path("founding").isObject()) {
            founding.receive(from, message.path("founding"));
        } else if (!VoterEndpoint.node(message.path("from").asText()).equals(from)) {
            throw new MalformedMessageException("raft: from: is not its sender");
        } else {
            RaftMessage read = codec.read(message);
            // Danger: one that lost its memory must not answer as if it had none to lose; nor as another.
            if (founding.isComplete()
                    && raft != null
                    && message.path("to").asText().equals(voter)) {
                raft.handle(read);
            }
        }
    }

    /** Who leads as far as is known; null where nobody does. */
    public String leader() {
        return leader == null ? null : VoterEndpoint.node(leader);
    }

    public boolean isLeader() {
        return leading && !ended;
    }

    /** The index of the last entry that was applied here. */
    public long appliedIndex() {
        return applied;
    }

    /**
     * Puts an entry into the log.
     *
     * @param then what the book made of it, or null where it is not known whether it is in the log or will be
     */
    public void propose(String entry, Consumer<Object> then) {
        if (raft == null) {
            ground.after(0, () -> then.accept(null));
            return;
        }
        done(raft.<Object>replicate(entry), then);
    }

    /** Asks a quorum whether this voter still leads: if so, what it has applied holds at this moment. */
    public void confirmLeadership(Consumer<Boolean> then) {
        if (raft == null) {
            ground.after(0, () -> then.accept(false));
            return;
        }
        done(
                raft.<Object>query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()),
                result -> then.accept(result != null));
    }

    private <T> void done(CompletableFuture<io.microraft.Ordered<T>> future, Consumer<Object> then) {
        future.whenComplete((result, fault) ->
                ground.after(0, () -> then.accept(fault == null && !ended ? result.getResult() : null)));
    }

    private void storeFailed(IOException e) {
        broken = "its store failed: " + e.getMessage();
        ended = true;
        reported(false, null);
    }

    private void reported(boolean nowLeading, String nowLeader) {
        leader = nowLeader;
        if (leading != nowLeading) {
            leading = nowLeading;
            leads.accept(nowLeading);
        }
    }

    /** The ground's clock, quick enough that a beat is one of the library's seconds. */
    private final class ScaledClock extends Clock {
        @Override
        public long millis() {
            return ground.millis() * SECOND / beat;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }

    /**
     * Danger: the library's node (0.7) was seen to refuse the same entries for good, those of a change of the
     * members among them, though it had the ones before; the leader could commit nothing more. One that does
     * is made anew from its store, too.
     */
    private void refuses(RaftMessage message) {
        if (message instanceof AppendEntriesSuccessResponse) {
            refused = 0;
        } else if (message instanceof AppendEntriesFailureResponse failure) {
            refused = failure.getExpectedNextIndex() == refusedFrom ? refused + 1 : 1;
            refusedFrom = failure.getExpectedNextIndex();
            if (refused >= REFUSALS) {
                refused = 0;
                Life its = life;
                ground.after(0, () -> {
                    if (!its.over()) {
                        anew();
                    }
                });
            }
        }
    }

    /**
     * What one life of the library's node stands on; once another has begun, nothing comes of it any more.
     */
    private final class Life implements Transport, RaftNodeExecutor, StateMachine {
        private boolean over() {
            return ended || life != this;
        }

        void reported(RaftNodeReport report) {
            if (!over()) {
                lastReport = report;
                Voter.this.reported(
                        report.getRole() == RaftRole.LEADER,
                        RaftCodec.name(report.getTerm().getLeaderEndpoint()));
                // Danger: the library's node is in the middle of something, and would go on with it on a new
                // book.
                ground.after(0, () -> {
                    if (!over()) {
                        unstick(report);
                    }
                });
            }
        }

        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (!over()) {
                refuses(message);
                String to = RaftCodec.name(target);
                Voter.this.send(VoterEndpoint.node(to), codec.write(message).put("to", to));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }

        @Override
        public void execute(Runnable task) {
            schedule(task, 0, TimeUnit.MILLISECONDS);
        }

        @Override
        public void submit(Runnable task) {
            schedule(task, 0, TimeUnit.MILLISECONDS);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            ground.after(unit.toMillis(delay) * beat / SECOND, () -> {
                if (!over()) {
                    task.run();
                }
            });
        }

        @Override
        public Object runOperation(long index, Object operation) {
            String entry = (String) operation;
            if (over()) {
                throw new IllegalStateException("this life of the library's node is over");
            } else if (entry.isEmpty()) {
                // A new term's first entry, or the question whether this voter leads.
                return Boolean.TRUE;
            }
            applied = index;
            return book.apply(index, entry);
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> pieces) {
            String text = book.snapshot();
            for (int from = 0; from < text.length(); from += CHUNK) {
                pieces.accept(text.substring(from, Math.min(text.length(), from + CHUNK)));
            }
        }

        @Override
        public void installSnapshot(long index, List<Object> pieces) {
            StringBuilder text = new StringBuilder();
            pieces.forEach(text::append);
            applied = index;
            book.restore(text.toString());
        }

        @Override
        public Object getNewTermOperation() {
            return "";
        }
    }
}
