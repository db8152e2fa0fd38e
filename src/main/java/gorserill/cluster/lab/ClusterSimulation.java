package gorserill.cluster.lab;

import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.MalformedMessageException;
import gorserill.cluster.consensus.Voter;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.MemberConfig;
import gorserill.cluster.member.PieceHandler;
import gorserill.cluster.shared.Allowance;
import gorserill.cluster.shared.Budget;
import gorserill.cluster.shared.BudgetClient;
import gorserill.cluster.shared.BudgetLimiter;
import gorserill.cluster.standing.StandingJob;
import gorserill.cluster.standing.StandingJobScheduler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * A run of a cluster in virtual time, which is reproducible byte for byte from its seed. All invariants are
 * checked after each event; the first violation ends the run and is reported with the latest events.
 */
public final class ClusterSimulation {
    /** A fault that is injected at random times. */
    public enum Fault {
        LOSS,
        CUT,
        ONE_WAY,
        LINK,
        FLAP,
        STALL,
        CRASH,
        RESTART_ALL,
        DRIFT,
        DISK,
        FORGET,
        MOVE,
        LEAVE
    }

    /** A fault at one step of a node, which is the delivery of a message or the expiry of a timer. */
    public enum StepFault {
        /** A message is lost; a timer is not affected. */
        LOST,
        /** The step is delayed by one and a half leases; later steps are not. */
        LATE,
        /** The node stalls for one and a half leases before the step. */
        STALLED,
        /** The process crashes before the step. */
        DIES_BEFORE,
        /** The process crashes after the step. */
        DIES_AFTER
    }

    /** A planned operation that starts once the cluster has settled, so that faults can be injected at its steps. */
    public enum Scenario {
        QUIET,
        LEAVE,
        REPLACE
    }

    /**
     * The parameters of a run.
     *
     * @param nodes number of nodes; the first {@code voters} of them vote
     * @param seconds length of the phase with faults
     * @param calmMs milliseconds without faults after that, in which work must proceed
     * @param stepFaults by step, counted from {@link #SETTLED_MS} on
     */
    public record Plan(
            int nodes,
            int voters,
            int seconds,
            long seed,
            Set<Fault> faults,
            Set<Member.InjectedFault> plants,
            long calmMs,
            Scenario scenario,
            Map<Integer, StepFault> stepFaults) {
        public Plan(
                int nodes, int voters, int seconds, long seed, Set<Fault> faults, Set<Member.InjectedFault> plants) {
            this(nodes, voters, seconds, seed, faults, plants, CALM_MS, Scenario.QUIET, Map.of());
        }
    }

    /**
     * The result of a run.
     *
     * @param violation the invariant that was violated; null if there is none
     * @param history the latest events
     * @param falselyEndedLives lives that were ended although the process was running
     * @param longestGapMs the longest time in which a piece of work had no owner
     * @param gapsMs times without an owner, after the cluster had settled
     * @param fingerprint hash of all messages that were sent
     */
    public record Outcome(
            String violation,
            List<String> history,
            int actsRun,
            int unknownClaims,
            int epochs,
            int faults,
            int falselyEndedLives,
            int replacedVoters,
            int hardAdmitted,
            int softAdmitted,
            long longestGapMs,
            List<Long> gapsMs,
            long messages,
            long bytes,
            long fingerprint,
            int steps,
            List<Traffic.Figure> traffic) {}

    /** Aggregates the results of many runs. Thread-safe. */
    public static final class RunSummary {
        private int runs;
        private int violated;
        private long actsRun;
        private long unknownClaims;
        private long epochs;
        private long falselyEndedLives;
        private long replacedVoters;
        private long hardAdmitted;
        private long softAdmitted;
        private long longestGapMs;
        private final Histogram gapsMs = new Histogram(600_000, 3);
        private long messages;
        private long bytes;
        private final List<List<Traffic.Figure>> traffic = new ArrayList<>();

        /** Adds a result; returns whether it has a violation. */
        public synchronized boolean add(Outcome one) {
            runs++;
            violated += one.violation == null ? 0 : 1;
            actsRun += one.actsRun;
            unknownClaims += one.unknownClaims;
            epochs += one.epochs;
            falselyEndedLives += one.falselyEndedLives;
            replacedVoters += one.replacedVoters;
            hardAdmitted += one.hardAdmitted;
            softAdmitted += one.softAdmitted;
            longestGapMs = Math.max(longestGapMs, one.longestGapMs);
            one.gapsMs.forEach(gapsMs::recordValue);
            messages += one.messages;
            bytes += one.bytes;
            traffic.add(one.traffic);
            return one.violation != null;
        }

        public synchronized int violated() {
            return violated;
        }

        /** Returns the message rates by role, direction and kind over all runs. */
        public synchronized List<Traffic.Rate> traffic() {
            return Traffic.rates(traffic);
        }

        public synchronized String text() {
            return (violated == 0 ? "ok" : "violated: " + violated) + " (" + runs + " runs, acts " + actsRun
                    + ", claims of unknown outcome " + unknownClaims + ", epochs " + epochs
                    + ", lives ended though the "
                    + "process was running " + falselyEndedLives + ", voters replaced " + replacedVoters
                    + ", admitted by the hard budget "
                    + hardAdmitted
                    + ", by the soft one " + softAdmitted + ", times without an owner "
                    + gapsMs.getTotalCount() + " (p50 " + gapsMs.getValueAtPercentile(50) + " ms, p99 "
                    + gapsMs.getValueAtPercentile(99) + ", worst " + longestGapMs + "), messages " + messages
                    + ", bytes "
                    + bytes + ")";
        }
    }

    /** Standing jobs: two that must run at most once, and two keyed ones that may run again. */
    private static final List<String> PIECES = List.of("once-a", "once-b", "keyed-a", "keyed-b");

    public static final long CALM_MS = 15_000;
    /** Time by which a leader is elected and each piece of work has an owner. */
    public static final long SETTLED_MS = 3_000;
    /** Time from which traffic is counted, when all nodes have joined and settled. */
    private static final long STEADY_MS = 5_000;

    private static final long SAMPLE_MS = 100;
    private static final long BEAT_MS = 100;
    private static final long LEASE_MS = 1_000;
    /** Clock rates differ from real time by at most half of this fraction. */
    private static final double CLOCK_DRIFT = 0.05;

    private static final List<StandingJob> JOBS = PIECES.stream()
            .map(name -> new StandingJob(
                    name, name, "", 300, null, null, StandingJob.MissedPolicy.ALL, 300, name.startsWith("keyed")))
            .toList();
    private static final int MAX_HISTORY = 60;
    /** A hard and a soft budget. Far more jobs are requested than they allow, most of them at one node at a time. */
    private static final List<Budget> BUDGETS =
            List.of(new Budget("hard", 0, -1, 60, 12, 20, 3, true), new Budget("soft", 1, -1, 60, 12, 20, 3, false));

    private static final long REQUEST_INTERVAL_MS = 20;
    /** Factor by which a soft budget may be exceeded while parts of the cluster are cut off. */
    private static final double SOFT_FACTOR = 2;

    private final Plan plan;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, SimulatedNode> nodes = new TreeMap<>();
    private final Map<String, Long> cutUntil = new HashMap<>();
    private final List<String> history = new ArrayList<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private final Map<String, Long> firstClaimed = new HashMap<>();
    private final Set<String> skippedRuns = new HashSet<>();
    private final Set<String> unknownClaims = new HashSet<>();
    private final Map<String, String> epochHolders = new HashMap<>();
    private final Map<String, Long> unownedSince = new HashMap<>();
    private long now;
    private long order;
    private double loss;
    /** The voter that has lost its data or is being moved, and is to be replaced; one at a time. */
    private SimulatedNode departing;

    private String replacement;
    private String violation;
    private int faults;
    private int steps;
    private final Map<String, String> owners = new HashMap<>();
    private final double[] shareSum = new double[BUDGETS.size()];
    private long checkedAt = -1;
    /** Jobs admitted of each budget, less what its rate has permitted since. */
    private final double[] bucketLevel = new double[BUDGETS.size()];

    private final long[] bucketLevelAt = new long[BUDGETS.size()];
    private final int[] admitted = new int[BUDGETS.size()];
    private int requested;
    private int falselyEndedLives;
    private int replacedVoters;
    private long longestGapMs;
    private final List<Long> gapsMs = new ArrayList<>();
    private long messages;
    private long bytes;
    private long fingerprint = 1;
    private final Traffic traffic = new Traffic();
    private long sampledAt = STEADY_MS;

    private record Event(long at, long order, SimulatedNode to, int incarnation, Runnable what) {}

    private ClusterSimulation(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
    }

    public static Outcome run(Plan plan) {
        return new ClusterSimulation(plan).run();
    }

    /** A node with its process, clock and storage. */
    private final class SimulatedNode implements ClusterEnvironment, PieceHandler {
        final String name;
        final SimulatedShelf shelf = new SimulatedShelf();
        final double rate;
        final long offset;
        int incarnation;
        long stalledUntil;
        boolean up;
        long life;
        Member member;
        StandingJobScheduler standing;
        BudgetLimiter limiter;
        List<Allowance> allowances = List.of();
        /** Its share of each budget at the last check. */
        final double[] share = new double[BUDGETS.size()];

        SimulatedNode(String name) {
            this.name = name;
            rate = plan.faults.contains(Fault.DRIFT) ? 1 + CLOCK_DRIFT * (random.nextDouble() - 0.5) : 1;
            offset = 1_000 + random.nextInt(1_000_000);
        }

        void boot() {
            incarnation++;
            up = true;
            life = 0;
            standing = new StandingJobScheduler(JOBS, this, () -> now, this::runJob, (job, number, epoch, what) -> {
                if (what.startsWith("claimed")) {
                    firstClaimed.putIfAbsent(job, number);
                } else if (what.startsWith("missed")) {
                    skippedRuns.add(job + "#" + number);
                } else if (what.endsWith("UNKNOWN")) {
                    unknownClaims.add(job + "#" + number);
                }
            });
            List<String> voters = new ArrayList<>();
            for (int i = 0; i < plan.voters; i++) {
                voters.add("n" + i);
            }
            try {
                member = new Member(
                        new MemberConfig(
                                "lab",
                                name,
                                name + "/" + incarnation,
                                incarnation,
                                "1",
                                voters,
                                PIECES,
                                BEAT_MS,
                                LEASE_MS,
                                CLOCK_DRIFT),
                        this,
                        shelf,
                        random.nextLong(),
                        this,
                        plan.plants);
                standing.setMember(member);
                List<Budget> budgets = BUDGETS.stream()
                        .map(b -> new Budget(
                                b.name(),
                                b.jobClass(),
                                b.tenant(),
                                b.perSecond(),
                                b.burst(),
                                b.floorPercent(),
                                plan.nodes,
                                b.hard()))
                        .toList();
                BudgetClient[] client = new BudgetClient[1];
                limiter = new BudgetLimiter(
                        budgets, this::millis, (budget, perSecond) -> client[0].updateDemand(budget, perSecond));
                client[0] = new BudgetClient(
                        budgets,
                        this,
                        member.budgetLink(),
                        BEAT_MS,
                        LEASE_MS,
                        plan.plants.contains(Member.InjectedFault.GIVES_BACK_LATE),
                        all -> {
                            allowances = all;
                            limiter.updateAllowances(all);
                        });
                member.setSpender(client[0]);
                member.start();
                requestJobs();
            } catch (MalformedMessageException e) {
                reportViolation("storage can't be read: " + e.getMessage());
            }
        }

        /** Requests jobs of both budgets, most of them at one node, which changes over time. */
        private void requestJobs() {
            boolean busiest = now / 7_000 % plan.nodes == Integer.parseInt(name.substring(1));
            for (int i = busiest ? 4 : random.nextInt(8) == 0 ? 1 : 0; i > 0; i--) {
                for (int b = 0; b < BUDGETS.size(); b++) {
                    requested++;
                    if (limiter.tryAdmit(millis() * 1_000, b, -1) == 0) {
                        recordAdmission(b, name);
                    }
                }
            }
            after(REQUEST_INTERVAL_MS, this::requestJobs);
        }

        double share(int budget) {
            return up && !allowances.isEmpty() ? allowances.get(budget).share(millis()) : 0;
        }

        private void count(Traffic.Direction direction, MessageKind kind, int length) {
            if (now >= STEADY_MS) {
                traffic.count(role(), direction, kind, length);
            }
        }

        Traffic.Role role() {
            String voting = member.voterStatus();
            return "leads".equals(voting)
                    ? Traffic.Role.LEADER
                    : "votes".equals(voting) ? Traffic.Role.VOTER : Traffic.Role.PLAIN;
        }

        void crash() {
            member.stop();
            up = false;
            incarnation++;
            shelf.crash();
        }

        @Override
        public long millis() {
            return offset + (long) (now * rate);
        }

        @Override
        public void after(long millis, Runnable then) {
            scheduleAt(now + (long) Math.ceil(millis / rate), this, then);
        }

        @Override
        public void send(String to, byte[] message) {
            SimulatedNode target = nodes.get(to);
            messages++;
            bytes += message.length;
            fingerprint = fingerprint * 31 + java.util.Arrays.hashCode(message);
            MessageKind kind = MessageKind.of(message);
            count(Traffic.Direction.SENT, kind, message.length);
            if (target == null || isCut(name, to) || random.nextDouble() < loss) {
                return;
            }
            int copies = random.nextDouble() < loss / 4 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long way = 1 + random.nextInt(5) + (random.nextDouble() < loss ? random.nextInt(1_500) : 0);
                int sentToIncarnation = target.incarnation;
                // A datagram may reach the successor of the process that it was sent to.
                scheduleAt(now + way, target, -1, () -> {
                    if (target.up && (target.incarnation == sentToIncarnation || random.nextBoolean())) {
                        target.count(Traffic.Direction.RECEIVED, kind, message.length);
                        target.member.receive(message);
                    }
                });
            }
        }

        // ---- ownership: passed on to the standing jobs, with checks ----

        @Override
        public void owns(String piece, long epoch, long last, SortedSet<Long> open) {
            String me = name + "/" + incarnation;
            String before = epochHolders.putIfAbsent(piece + "@" + epoch, me);
            record(me + " owns " + piece + " under " + epoch + " from " + last + ", unknown " + open);
            if (before != null && !before.equals(me)) {
                reportViolation("epoch " + epoch + " of " + piece + " went to " + before + " and to " + me);
            }
            standing.owns(piece, epoch, last, open);
        }

        /** Runs and completes a job after random delays; one in twenty is refused at its first attempt. */
        private void runJob(
                StandingJob job, long time, long epoch, int attempt, Consumer<StandingJobScheduler.JobResult> then) {
            if (attempt == 0 && random.nextInt(20) == 0) {
                after(random.nextInt(40), () -> then.accept(StandingJobScheduler.JobResult.REFUSED));
                return;
            }
            after(random.nextInt(40), () -> {
                recordRun(job.name(), job.occurrenceAt(time), name + "/" + incarnation);
                after(random.nextInt(40), () -> then.accept(StandingJobScheduler.JobResult.SERVED));
            });
        }

        @Override
        public void handOver(String piece, long epoch, Runnable then) {
            standing.handOver(piece, epoch, then);
        }

        @Override
        public void lost(String piece, long epoch) {
            record(name + "/" + incarnation + " lost " + piece + " under " + epoch);
            standing.lost(piece, epoch);
        }
    }

    private void recordRun(String piece, long act, String who) {
        int times = runCounts.merge(piece + "#" + act, 1, Integer::sum);
        record(who + " runs " + piece + "#" + act);
        if (times > 1 && piece.startsWith("once")) {
            reportViolation(piece + "#" + act + " ran twice, last at " + who);
        }
    }

    // ---- time ----

    private void scheduleAt(long time, SimulatedNode to, Runnable what) {
        scheduleAt(time, to, to.incarnation, what);
    }

    private void scheduleAt(long time, SimulatedNode to, int incarnation, Runnable what) {
        events.add(new Event(Math.max(time, now), order++, to, incarnation, what));
    }

    private Outcome run() {
        for (int i = 0; i < plan.nodes; i++) {
            nodes.put("n" + i, new SimulatedNode("n" + i));
        }
        nodes.values().forEach(node -> scheduleAt(random.nextInt(200), node, -1, node::boot));
        long calmFrom = plan.seconds * 1_000L;
        if (plan.stepFaults.isEmpty() && !plan.faults.isEmpty()) {
            events.add(new Event(4_000, order++, null, -1, this::injectRandomFault));
        }
        SimulatedNode first = nodes.get("n0");
        switch (plan.scenario) {
            case LEAVE -> {
                events.add(
                        new Event(SETTLED_MS, order++, null, -1, () -> startFault(Fault.LEAVE, first, 2 * LEASE_MS)));
            }
            case REPLACE ->
                events.add(new Event(SETTLED_MS, order++, null, -1, () -> startFault(Fault.MOVE, first, 0)));
            default -> {}
        }
        events.add(new Event(calmFrom, order++, null, -1, this::repairAll));
        while (!events.isEmpty() && violation == null && now < calmFrom + plan.calmMs) {
            Event event = events.poll();
            now = event.at;
            sampleRoles();
            SimulatedNode to = event.to;
            if (to == null) {
                event.what.run();
            } else if (event.incarnation >= 0 && event.incarnation != to.incarnation) {
                continue;
            } else if (now < to.stalledUntil) {
                // The node is stalled: its events run when it resumes, in the same order.
                events.add(new Event(to.stalledUntil, event.order, to, event.incarnation, event.what));
                continue;
            } else if (!applyStepFault(event)) {
                try {
                    event.what.run();
                } catch (RuntimeException e) {
                    reportViolation(to.name + " failed: " + e + " at " + e.getStackTrace()[0]);
                }
            }
            if (to != null) {
                countFalselyEndedLife(to);
            }
            check(to);
        }
        if (violation == null) {
            checkFinalState();
        }
        return new Outcome(
                violation,
                history,
                runCounts.size(),
                unknownClaims.size(),
                epochHolders.size(),
                faults,
                falselyEndedLives,
                replacedVoters,
                admitted[0],
                admitted[1],
                longestGapMs,
                gapsMs,
                messages,
                bytes,
                fingerprint,
                steps,
                traffic.figures());
    }

    /** Records how long nodes had their roles, by which traffic rates are calculated. */
    private void sampleRoles() {
        for (; now >= sampledAt + SAMPLE_MS; sampledAt += SAMPLE_MS) {
            nodes.values().stream()
                    .filter(node -> node.up)
                    .forEach(node -> traffic.addRoleTime(node.role(), SAMPLE_MS));
        }
    }

    /** Applies the planned fault to this step; returns whether the step must not run now. */
    private boolean applyStepFault(Event event) {
        StepFault stepFault = now < SETTLED_MS ? null : plan.stepFaults.get(steps++);
        if (stepFault == null) {
            return false;
        }
        SimulatedNode node = event.to;
        boolean message = event.incarnation < 0;
        record("step fault: " + (message ? "message to " : "timer of ") + node.name + ": " + stepFault);
        long late = now + LEASE_MS + LEASE_MS / 2;
        switch (stepFault) {
            case LOST -> {
                return message;
            }
            case LATE -> events.add(new Event(late, order++, node, event.incarnation, event.what));
            case STALLED -> {
                node.stalledUntil = late;
                events.add(new Event(late, event.order, node, event.incarnation, event.what));
            }
            case DIES_BEFORE -> crash(node, 50);
            case DIES_AFTER -> {
                event.what.run();
                crash(node, 50);
            }
            default -> {}
        }
        return true;
    }

    private void record(String what) {
        history.add(now + " " + what);
        if (history.size() > MAX_HISTORY) {
            history.remove(0);
        }
    }

    private void reportViolation(String what) {
        if (violation == null) {
            violation = what;
            record("VIOLATED: " + what);
        }
    }

    /** Counts a second life of the same process: the one before was ended although the process was running. */
    private void countFalselyEndedLife(SimulatedNode node) {
        long now = node.up ? node.member.life() : 0;
        if (now > 0 && now != node.life) {
            falselyEndedLives += node.life > 0 ? 1 : 0;
            node.life = now;
        }
    }

    /** Checks that admitted jobs over any time stay within the rate, the burst and one job for each node. */
    private void recordAdmission(int b, String who) {
        Budget budget = BUDGETS.get(b);
        double factor = budget.hard() ? 1 : SOFT_FACTOR;
        bucketLevel[b] = 1
                + Math.max(
                        0,
                        bucketLevel[b]
                                - (now - bucketLevelAt[b]) / 1e3 * budget.perSecond() * factor * (1 + CLOCK_DRIFT / 2));
        bucketLevelAt[b] = now;
        admitted[b]++;
        if (bucketLevel[b] > budget.burst() * factor + plan.nodes) {
            reportViolation(budget.name() + " admitted " + bucketLevel[b] + " jobs beyond its rate, last at " + who);
        }
    }

    /**
     * Checks the invariants that hold at all times. A node's ownership and shares change only with its clock or by
     * its own events, so all nodes are checked once a millisecond and after events that may affect several nodes,
     * and otherwise only the node that acted.
     */
    private void check(SimulatedNode acted) {
        if (acted == null || now != checkedAt) {
            checkedAt = now;
            checkOwners();
            checkShares();
        } else {
            checkOwners(acted);
            checkShares(acted);
        }
    }

    /** Checks that the shares of all nodes, each by its own clock, do not exceed the whole budget. */
    private void checkShares() {
        for (int b = 0; b < BUDGETS.size(); b++) {
            shareSum[b] = 0;
            for (SimulatedNode node : nodes.values()) {
                node.share[b] = node.share(b);
                shareSum[b] += node.share[b];
            }
        }
        checkShareSums();
    }

    private void checkShares(SimulatedNode acted) {
        for (int b = 0; b < BUDGETS.size(); b++) {
            double share = acted.share(b);
            shareSum[b] += share - acted.share[b];
            acted.share[b] = share;
        }
        checkShareSums();
    }

    private void checkShareSums() {
        for (int b = 0; b < BUDGETS.size(); b++) {
            if (shareSum[b] > (BUDGETS.get(b).hard() ? 1 : SOFT_FACTOR) + 1e-9) {
                reportViolation("the shares of all nodes add up to " + shareSum[b] + " times the budget "
                        + BUDGETS.get(b).name());
            }
        }
    }

    /** Checks that no two nodes, each by its own clock, own the same piece. */
    private void checkOwners() {
        owners.clear();
        for (String piece : PIECES) {
            for (SimulatedNode node : nodes.values()) {
                checkOwner(piece, node);
            }
            trackUnowned(piece);
        }
    }

    private void checkOwners(SimulatedNode acted) {
        for (String piece : PIECES) {
            owners.remove(piece, acted.name);
            checkOwner(piece, acted);
            trackUnowned(piece);
        }
    }

    private void checkOwner(String piece, SimulatedNode node) {
        if (node.up && node.member.owns(piece)) {
            String other = owners.put(piece, node.name);
            if (other != null) {
                reportViolation(other + " and " + node.name + " both own " + piece);
            }
        }
    }

    private void trackUnowned(String piece) {
        if (!owners.containsKey(piece)) {
            unownedSince.putIfAbsent(piece, now);
        } else if (unownedSince.containsKey(piece)) {
            long gap = now - unownedSince.remove(piece);
            longestGapMs = Math.max(longestGapMs, gap);
            if (now > SETTLED_MS) {
                gapsMs.add(gap);
            }
        }
    }

    private void describe() {
        nodes.values()
                .forEach(node -> record(node.name + " life " + node.member.life() + " "
                        + node.member.voterStatus() + ", leader " + node.member.leader() + ", owns "
                        + node.member.owned()
                        + ", dropped " + node.member.dropped() + ", " + node.member.diagnostics()));
    }

    /** Checks that after the phase without faults each piece has an owner and all repeatable jobs have run. */
    private void checkFinalState() {
        for (String piece : PIECES) {
            if (unownedSince.containsKey(piece)) {
                describe();
                reportViolation("no node owns " + piece + " since " + unownedSince.get(piece));
            }
        }
        for (StandingJob job : JOBS) {
            long last = job.occurrenceAt(now - 4 * LEASE_MS);
            for (long number = firstClaimed.getOrDefault(job.name(), last);
                    number < last && job.repeatable();
                    number++) {
                if (!runCounts.containsKey(job.name() + "#" + number) && skippedRuns.isEmpty()) {
                    describe();
                    reportViolation(job.name() + "#" + number + " was due and never ran");
                }
            }
        }
    }

    // ---- faults ----

    private boolean isCut(String from, String to) {
        return cutUntil.getOrDefault(from + ">" + to, 0L) > now;
    }

    private SimulatedNode randomNode() {
        return nodes.get("n" + random.nextInt(plan.nodes));
    }

    private void injectRandomFault() {
        List<Fault> kinds =
                new ArrayList<>(EnumSet.copyOf(plan.faults.isEmpty() ? EnumSet.of(Fault.DRIFT) : plan.faults));
        Fault fault = kinds.get(random.nextInt(kinds.size()));
        long length = 200 + random.nextInt(random.nextInt(10) == 0 ? 10_000 : 3_000);
        SimulatedNode node = randomNode();
        faults++;
        if (now + length < plan.seconds * 1_000L - 500) {
            record("fault: " + fault + " at " + node.name + " for " + length + " ms");
            startFault(fault, node, length);
        }
        events.add(new Event(now + 300 + random.nextInt(2_500), order++, null, -1, () -> {
            if (now < plan.seconds * 1_000L - 1_000) {
                injectRandomFault();
            }
        }));
    }

    private void startFault(Fault fault, SimulatedNode node, long length) {
        switch (fault) {
            case LOSS -> {
                loss = random.nextDouble() * 0.3;
                schedule(length, () -> loss = 0);
            }
            case CUT ->
                nodes.keySet().forEach(other -> {
                    if (random.nextBoolean()) {
                        cut(node.name, other, length);
                        cut(other, node.name, length);
                    }
                });
            case ONE_WAY -> nodes.keySet().forEach(other -> cut(other, node.name, length));
            case LINK -> {
                SimulatedNode other = randomNode();
                cut(node.name, other.name, length);
                cut(other.name, node.name, length);
            }
            case FLAP -> {
                for (long t = 0; t < length; t += 300) {
                    schedule(t, () -> nodes.keySet().forEach(other -> cut(node.name, other, 150)));
                }
            }
            case STALL -> node.stalledUntil = Math.max(node.stalledUntil, now + length);
            case CRASH -> crash(node, length);
            case RESTART_ALL -> nodes.values().forEach(n -> crash(n, 50 + random.nextInt(500)));
            case DISK -> node.shelf.failing = true;
            case FORGET -> {
                // Only one voter at a time may lose its data; an operator command replaces it.
                if (node.up && departing == null && votingNodes().contains(node.name)) {
                    departing = node;
                    node.crash();
                    node.shelf.erase();
                    schedule(length, () -> {
                        restart(node);
                        replace(node);
                    });
                }
            }
            case MOVE -> {
                if (node.up && departing == null && votingNodes().contains(node.name)) {
                    departing = node;
                    replace(node);
                }
            }
            case LEAVE -> {
                if (node.up) {
                    node.member.setLeaving(true);
                    schedule(length, () -> {
                        if (node.up) {
                            node.member.setLeaving(false);
                        }
                    });
                }
            }
            default -> {}
        }
        if (fault == Fault.DISK) {
            schedule(length, () -> {
                node.shelf.failing = false;
                if (node.up && node.member.voterStatus() != null) {
                    // A voter whose storage failed is restarted once writes succeed again.
                    crash(node, 50);
                }
            });
        }
    }

    /** Returns the voting nodes, according to the leader that has applied the most entries. */
    private Set<String> votingNodes() {
        Set<String> voting = new TreeSet<>();
        voters().keySet().forEach(v -> voting.add(Voter.node(v)));
        return voting;
    }

    private Map<String, Boolean> voters() {
        return nodes.values().stream()
                .filter(n -> n.up && "leads".equals(n.member.voterStatus()))
                .max(Comparator.comparingLong(n -> n.member.viewIndex()))
                .map(n -> n.member.voters())
                .orElse(Map.of());
    }

    /** Acts as an operator who asks any running node to replace a voter, and repeats it until it is done. */
    private void replace(SimulatedNode voter) {
        Set<String> voterStatus = votingNodes();
        List<String> candidates = new ArrayList<>(nodes.keySet());
        candidates.removeIf(name -> voterStatus.contains(name) && !name.equals(voter.name)
                || name.equals(voter.name) && !voter.member.voterStatus().contains("empty"));
        SimulatedNode asked = randomNode();
        if (departing == voter && replacement == null && asked.up && !candidates.isEmpty()) {
            String joining = candidates.get(random.nextInt(candidates.size()));
            asked.member.replace(voter.name, joining, LEASE_MS, answer -> {
                if (answer != null && answer.accepted() && departing == voter) {
                    replacement = joining + "#" + answer.value();
                    record("operator: " + replacement + " is to replace the voter on " + voter.name);
                }
            });
        }
        Map<String, Boolean> voters = voters();
        if (departing == voter
                && replacement != null
                && voters.getOrDefault(replacement, false)
                && voters.size() == plan.voters) {
            // A further voter may be lost only after the replacement is complete, or a majority could be lost.
            replacedVoters++;
            departing = null;
            replacement = null;
        }
        schedule(2 * LEASE_MS, () -> {
            if (departing == voter && now < plan.seconds * 1_000L + plan.calmMs / 2) {
                replace(voter);
            }
        });
    }

    private void cut(String from, String to, long length) {
        if (!from.equals(to)) {
            cutUntil.merge(from + ">" + to, now + length, Math::max);
        }
    }

    private void crash(SimulatedNode node, long length) {
        if (node.up) {
            node.crash();
            schedule(length, () -> restart(node));
        }
    }

    private void restart(SimulatedNode node) {
        if (!node.up) {
            node.stalledUntil = 0;
            node.boot();
        }
    }

    private void schedule(long millis, Runnable what) {
        events.add(new Event(now + millis, order++, null, -1, what));
    }

    private void repairAll() {
        loss = 0;
        cutUntil.clear();
        nodes.values().forEach(node -> {
            node.stalledUntil = 0;
            if (!node.up) {
                restart(node);
            }
        });
    }
}
