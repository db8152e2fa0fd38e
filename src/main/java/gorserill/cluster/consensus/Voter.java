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
 * A member that keeps the replicated log. All code runs on the thread of the member. Safety depends only on a
 * quorum of voters and their disks; timeouts only decide when a leader is considered failed.
 */
public final class Voter {
    /** Log entries per message: each is below a kilobyte, and a message must fit a datagram. */
    private static final int MAX_ENTRIES_PER_MESSAGE = 4;

    private static final int MAX_PENDING_ENTRIES = 256;
    private static final int ENTRIES_PER_SNAPSHOT = 512;
    /**
     * The library counts heartbeats in whole seconds; its clock is scaled so that one second lasts one
     * heartbeat period.
     */
    private static final long LIBRARY_SECOND_MS = 1_000;

    private static final int LEADER_TIMEOUT_HEARTBEATS = 5;
    /** Multiple of the heartbeat timeout without a heartbeat after which a follower counts as stuck. */
    private static final int STUCK_TIMEOUT_MULTIPLE = 4;
    /** Consecutive rejections of the same entries after which a follower counts as stuck. */
    private static final int MAX_REPEATED_REJECTIONS = 20;
    /** Characters per snapshot chunk. */
    private static final int SNAPSHOT_CHUNK_CHARS = 3_000;

    /**
     * The state machine that the log is applied to; the same entries in the same order must yield the same
     * state at every voter.
     */
    public interface ReplicatedState {
        /** Applies an entry and returns the result for its proposer. */
        Object apply(long index, String entry);

        String snapshot();

        /** Restores a snapshot; null stands for the initial state. */
        void restore(String snapshot);
    }

    private final ClusterEnvironment environment;
    private final RaftCodec codec;
    private final long heartbeatMs;
    private final BiConsumer<String, JsonNode> send;
    private final ReplicatedState replicatedState;
    private final Consumer<Boolean> onLeadershipChange;
    private final VoterStore store;
    private final String group;
    private final String name;
    private final Collection<String> initialVoters;
    private final Random random;
    private final Bootstrap bootstrap;
    private final StableStorage storage;
    /** The voter name of this node; empty if it is not a voter. */
    private String voter;

    private Collection<String> founders;
    private long assignedAt;
    private boolean changePending;
    /** Null before the first report. */
    private RaftNodeReport lastReport;

    private int rejections;
    private long rejectedIndex;
    private RaftNode raft;
    private RaftInstance raftInstance;
    private String leader;
    private boolean leading;
    private long appliedIndex;
    private boolean stopped;
    private String failureReason;

    /**
     * @param group the name of the cluster
     * @param initialVoters the names of the initial voters, this one among them; a stored assignment takes
     *     precedence
     * @param heartbeatMs heartbeat period of the leader in milliseconds
     * @param send sends messages to other voters
     * @param onLeadershipChange is called when this voter becomes the leader and when it stops being it
     * @throws MalformedMessageException if the stored state can't be read; the message names the key
     */
    public Voter(
            String group,
            String name,
            Collection<String> initialVoters,
            long heartbeatMs,
            long seed,
            ClusterEnvironment environment,
            StableStorage storage,
            BiConsumer<String, JsonNode> send,
            ReplicatedState replicatedState,
            Consumer<Boolean> onLeadershipChange)
            throws MalformedMessageException {
        this.environment = environment;
        this.heartbeatMs = heartbeatMs;
        this.send = send;
        this.replicatedState = replicatedState;
        this.onLeadershipChange = onLeadershipChange;
        this.group = group;
        this.name = name;
        this.initialVoters = initialVoters;
        this.storage = storage;
        random = new Random(seed);
        codec = new RaftCodec(group);
        store = new VoterStore(storage, codec, this::storeFailed);
        VoterAssignment seat = VoterAssignment.load(storage);
        voter = seat != null ? seat.voter() : initialVoters.contains(name) ? name : "";
        founders = seat != null ? seat.first() : initialVoters;
        assignedAt = seat != null ? seat.since() : 0;
        buildRaft();
        bootstrap = new Bootstrap(
                name,
                initialVoters,
                heartbeatMs,
                environment,
                storage,
                (to, message) ->
                        this.send(to, JsonNodeFactory.instance.objectNode().set("founding", message)),
                this::startRaft,
                this::storeFailed);
    }

    private void startRaft() {
        if (raft != null) {
            raft.start();
        }
    }

    /** Creates the Raft node of the library from the stored state. */
    private void buildRaft() throws MalformedMessageException {
        raftInstance = null;
        raft = null;
        if (voter.isEmpty()) {
            return;
        }
        RestoredRaftState restored = store.load();
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderElectionTimeoutMillis(LIBRARY_SECOND_MS)
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(LEADER_TIMEOUT_HEARTBEATS)
                .setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_MESSAGE)
                .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                .setCommitCountToTakeSnapshot(ENTRIES_PER_SNAPSHOT)
                .setRaftNodeReportPublishPeriodSecs(1)
                .build();
        raftInstance = new RaftInstance();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(group)
                .setConfig(config)
                .setExecutor(raftInstance)
                .setTransport(raftInstance)
                .setStateMachine(raftInstance)
                .setStore(store)
                .setModelFactory(codec.models())
                .setRandom(new Random(random.nextLong()))
                .setClock(new ScaledClock())
                .setRaftNodeReportListener(raftInstance::reported);
        if (restored == null) {
            List<RaftEndpoint> members = new ArrayList<>();
            founders.forEach(one -> members.add(new VoterEndpoint(one)));
            builder.setLocalEndpoint(new VoterEndpoint(voter)).setInitialGroupMembers(members);
        } else {
            builder.setRestoredState(restored);
        }
        raft = builder.build();
    }

    /**
     * Restarts a follower that is stuck. After votes and heartbeats that crossed on the network, the Raft
     * node of the library (0.7) was observed to follow a leader forever that had long failed. Such a node is
     * rebuilt from its store, as after a restart of the process.
     */
    private void restartIfStuck(RaftNodeReport report) {
        long heard = report.getLeaderHeartbeatTimestamp().orElse(0L);
        boolean follows =
                report.getRole() == RaftRole.FOLLOWER && report.getTerm().getLeaderEndpoint() != null;
        if (!follows
                || heard <= 0
                || environment.millis() - heard * heartbeatMs / LIBRARY_SECOND_MS
                        < heartbeatMs * LEADER_TIMEOUT_HEARTBEATS * STUCK_TIMEOUT_MULTIPLE) {
            return;
        }
        rebuild();
    }

    private void rebuild() {
        try {
            reported(false, null);
            appliedIndex = 0;
            replicatedState.restore(null);
            buildRaft();
            startRaft();
        } catch (MalformedMessageException e) {
            storeFailed(new IOException(e.getMessage()));
        }
    }

    // ---- membership ----

    /** The names of the voters and learners, each with whether it votes; empty if unknown. */
    public Map<String, Boolean> members() {
        Map<String, Boolean> members = new TreeMap<>();
        if (raft != null) {
            RaftGroupMembers committed = raft.getCommittedMembers();
            committed
                    .getMembers()
                    .forEach(one -> members.put(
                            RaftCodec.name(one), committed.getVotingMembers().contains(one)));
        }
        return members;
    }

    /** The index of the log entry of the last membership change; 0 for the initial members. */
    public long membersSince() {
        return raft == null ? 0 : raft.getCommittedMembers().getLogIndex();
    }

    /** State of the Raft node, for diagnosing faults. */
    public String diagnostics() {
        return raft == null
                ? "none"
                : raft.getTerm() + " " + raft.getStatus() + " "
                        + raft.getCommittedMembers()
                        + " applied " + appliedIndex + " changing " + changePending
                        + (lastReport == null
                                ? ""
                                : " " + lastReport.getRole() + " " + lastReport.getLog() + " "
                                        + lastReport.getEffectiveMembers());
    }

    /** The node that a voter name belongs to. */
    public static String node(String voter) {
        return VoterEndpoint.node(voter);
    }

    /** Whether a node votes under the assignment made by a log entry. */
    public boolean votes(String node, long entry) {
        return members().getOrDefault(VoterEndpoint.name(node, entry), false);
    }

    /** The nodes of the voters and learners. */
    public Set<String> voterNodes() {
        Set<String> nodes = new TreeSet<>();
        members().keySet().forEach(one -> nodes.add(VoterEndpoint.node(one)));
        return nodes;
    }

    /**
     * Performs the next step of a voter replacement if this voter leads: the new node joins as a learner, is
     * promoted once it has the log, and only then the old voter is removed. In another order, or with two
     * steps at once, a cluster that has lost a voter could be without a majority in between.
     *
     * @param leaving the node to be removed from the voters
     * @param coming the node to become a voter
     * @param entry the index of the log entry that requested the replacement
     * @param seat receives the assignment to be sent to the new node, for as long as it is needed
     * @return whether the replacement is complete
     */
    public boolean replace(String leaving, String coming, long entry, Consumer<JsonNode> seat) {
        String newVoter = VoterEndpoint.name(coming, entry);
        Map<String, Boolean> members = members();
        if (changePending || !isLeader()) {
            return false;
        } else if (!members.containsKey(newVoter)) {
            changeMembership(newVoter, MembershipChangeMode.ADD_LEARNER);
        } else if (!members.get(newVoter)) {
            List<String> initialNames = new ArrayList<>();
            raft.getInitialMembers().getMembers().forEach(one -> initialNames.add(RaftCodec.name(one)));
            seat.accept(new VoterAssignment(newVoter, initialNames, membersSince()).toJson());
            promote(newVoter);
        } else {
            for (Map.Entry<String, Boolean> one : members.entrySet()) {
                boolean goes = VoterEndpoint.node(one.getKey()).equals(leaving) || !one.getValue();
                if (goes && !one.getKey().equals(newVoter)) {
                    changeMembership(one.getKey(), MembershipChangeMode.REMOVE_MEMBER);
                    return false;
                }
            }
            return true;
        }
        return false;
    }

    private void promote(String newVoter) {
        RaftNode raftNode = raft;
        changePending = true;
        raftNode.getReport()
                .whenComplete((report, error) -> environment.after(0, () -> {
                    changePending = false;
                    if (error == null && raft == raftNode && !stopped) {
                        var log = report.getResult().getLog();
                        if (log.getFollowerMatchIndices().getOrDefault(new VoterEndpoint(newVoter), 0L)
                                >= log.getCommitIndex() - MAX_ENTRIES_PER_MESSAGE) {
                            changeMembership(newVoter, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                        }
                    }
                }));
    }

    private void changeMembership(String who, MembershipChangeMode how) {
        changePending = true;
        RaftNode raftNode = raft;
        raftNode.changeMembership(new VoterEndpoint(who), how, membersSince())
                .whenComplete((result, error) -> environment.after(0, () -> {
                    changePending = false;
                }));
    }

    /** Accepts the voter assignment sent by a leader; a node that is already a voter keeps its assignment. */
    public void acceptAssignment(JsonNode text) throws MalformedMessageException {
        VoterAssignment seat = VoterAssignment.parse(text, "seat");
        boolean free = voter.isEmpty() || bootstrap.stateLost();
        if (stopped || !free || !VoterEndpoint.node(seat.voter()).equals(name) || seat.since() <= assignedAt) {
            return;
        }
        applyAssignment(seat);
    }

    private void applyAssignment(VoterAssignment seat) {
        try {
            seat.save(storage);
        } catch (IOException e) {
            storeFailed(e);
            return;
        }
        bootstrap.markComplete();
        voter = seat.voter();
        founders = seat.first();
        assignedAt = seat.since();
        rebuild();
    }

    /**
     * Handles the member list of a leader that a quorum has confirmed. A voter that was removed would
     * continue to request votes; it discards its log and never votes under its old name again.
     */
    public void updateMembers(Set<String> members, long membersIndex) {
        if (!stopped
                && !voter.isEmpty()
                && bootstrap.isComplete()
                && membersIndex > assignedAt
                && !members.isEmpty()
                && !members.contains(voter)) {
            applyAssignment(new VoterAssignment("", List.copyOf(founders), membersIndex));
        }
    }

    /** Injects a fault: a voter with an empty store acts as if the cluster had been founded with it. */
    public static void injectFounded(StableStorage storage) {
        storage.put(Bootstrap.KEY, Bootstrap.Stage.FOUNDED.name());
    }

    public void start() {
        bootstrap.start();
    }

    private void send(String to, JsonNode message) {
        if (!stopped) {
            send.accept(to, message);
        }
    }

    /** Stops participating; the stored state is kept. */
    public void stop() {
        stopped = true;
    }

    /** The reason why this voter does not participate; null if it does. */
    public String inactiveReason() {
        return failureReason != null
                ? failureReason
                : bootstrap.stateLost()
                        ? "its store is empty, but the cluster was founded: it must be replaced"
                        : voter.isEmpty()
                                ? assignedAt > 0 ? "another has its place" : "spare"
                                : bootstrap.isComplete() ? null : "waits for all voters to be there for the first time";
    }

    /** Handles a message of another voter. */
    public void receive(String from, JsonNode message) throws MalformedMessageException {
        if (stopped) {
            return;
        } else if (message.path("founding").isObject()) {
            bootstrap.receive(from, message.path("founding"));
        } else if (!VoterEndpoint.node(message.path("from").asText()).equals(from)) {
            throw new MalformedMessageException("raft: from: is not its sender");
        } else {
            RaftMessage read = codec.read(message);
            // A voter that lost its state must not answer as if it had none to lose, nor under another voter
            // name.
            if (bootstrap.isComplete()
                    && raft != null
                    && message.path("to").asText().equals(voter)) {
                raft.handle(read);
            }
        }
    }

    /** The node of the leader, as far as known; null if there is none. */
    public String leader() {
        return leader == null ? null : VoterEndpoint.node(leader);
    }

    public boolean isLeader() {
        return leading && !stopped;
    }

    /** The index of the last entry applied here. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /**
     * Proposes a log entry.
     *
     * @param callback receives the result of applying it, or null if it is not known whether the entry is or will
     *     be in the log
     */
    public void propose(String entry, Consumer<Object> callback) {
        if (raft == null) {
            environment.after(0, () -> callback.accept(null));
            return;
        }
        deliver(raft.<Object>replicate(entry), callback);
    }

    /** Asks a quorum to confirm that this voter still leads; if so, its applied state is current. */
    public void confirmLeadership(Consumer<Boolean> callback) {
        if (raft == null) {
            environment.after(0, () -> callback.accept(false));
            return;
        }
        deliver(
                raft.<Object>query("", QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()),
                result -> callback.accept(result != null));
    }

    private <T> void deliver(CompletableFuture<io.microraft.Ordered<T>> future, Consumer<Object> callback) {
        future.whenComplete((result, error) ->
                environment.after(0, () -> callback.accept(error == null && !stopped ? result.getResult() : null)));
    }

    private void storeFailed(IOException e) {
        failureReason = "its store failed: " + e.getMessage();
        stopped = true;
        reported(false, null);
    }

    private void reported(boolean nowLeading, String nowLeader) {
        leader = nowLeader;
        if (leading != nowLeading) {
            leading = nowLeading;
            onLeadershipChange.accept(nowLeading);
        }
    }

    /** The clock of the environment, scaled so that one heartbeat period is one second of the library. */
    private final class ScaledClock extends Clock {
        @Override
        public long millis() {
            return environment.millis() * LIBRARY_SECOND_MS / heartbeatMs;
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
     * Restarts a follower that keeps rejecting entries. The Raft node of the library (0.7) was observed to
     * reject the same entries forever, those of a membership change among them, though it had the preceding
     * ones, so that the leader could not commit anything more. Such a node is rebuilt from its store.
     */
    private void checkRejections(RaftMessage message) {
        if (message instanceof AppendEntriesSuccessResponse) {
            rejections = 0;
        } else if (message instanceof AppendEntriesFailureResponse failure) {
            rejections = failure.getExpectedNextIndex() == rejectedIndex ? rejections + 1 : 1;
            rejectedIndex = failure.getExpectedNextIndex();
            if (rejections >= MAX_REPEATED_REJECTIONS) {
                rejections = 0;
                RaftInstance instance = raftInstance;
                environment.after(0, () -> {
                    if (!instance.isObsolete()) {
                        rebuild();
                    }
                });
            }
        }
    }

    /**
     * The transport, executor and state machine of one Raft node instance; once another instance is built,
     * callbacks of this one have no effect.
     */
    private final class RaftInstance implements Transport, RaftNodeExecutor, StateMachine {
        private boolean isObsolete() {
            return stopped || raftInstance != this;
        }

        void reported(RaftNodeReport report) {
            if (!isObsolete()) {
                lastReport = report;
                Voter.this.reported(
                        report.getRole() == RaftRole.LEADER,
                        RaftCodec.name(report.getTerm().getLeaderEndpoint()));
                // Deferred, as the Raft node is in the middle of an operation and would continue it on the
                // rebuilt state.
                environment.after(0, () -> {
                    if (!isObsolete()) {
                        restartIfStuck(report);
                    }
                });
            }
        }

        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (!isObsolete()) {
                checkRejections(message);
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
            environment.after(unit.toMillis(delay) * heartbeatMs / LIBRARY_SECOND_MS, () -> {
                if (!isObsolete()) {
                    task.run();
                }
            });
        }

        @Override
        public Object runOperation(long index, Object operation) {
            String entry = (String) operation;
            if (isObsolete()) {
                throw new IllegalStateException("this life of the library's node is over");
            } else if (entry.isEmpty()) {
                // The first entry of a new term, or a query that confirms the leadership.
                return Boolean.TRUE;
            }
            appliedIndex = index;
            return replicatedState.apply(index, entry);
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> pieces) {
            String text = replicatedState.snapshot();
            for (int from = 0; from < text.length(); from += SNAPSHOT_CHUNK_CHARS) {
                pieces.accept(text.substring(from, Math.min(text.length(), from + SNAPSHOT_CHUNK_CHARS)));
            }
        }

        @Override
        public void installSnapshot(long index, List<Object> pieces) {
            StringBuilder text = new StringBuilder();
            pieces.forEach(text::append);
            appliedIndex = index;
            replicatedState.restore(text.toString());
        }

        @Override
        public Object getNewTermOperation() {
            return "";
        }
    }
}
