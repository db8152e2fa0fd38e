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
 * One run of a cluster in virtual time. The same seed gives the same run to the byte. After each event all
 * rules are checked; the first that is broken ends the run, with what led to it.
 */
public final class ClusterSimulation {
    /** What can be made to happen. */
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

    /** What can be made to happen at one step of a node: a message that comes, or a time that is due. */
    public enum StepFault {
        /** The message is lost; what is due is done. */
        LOST,
        /** It comes, or is done, a lease and a half later; what comes after it does not wait. */
        LATE,
        /** The node stands still for a lease and a half before it. */
        STALLED,
        /** The process dies before it, and after it. */
        DIES_BEFORE,
        DIES_AFTER
    }

    /** What is done by plan once all has settled, so that slips can come at each step of it. */
    public enum Scenario {
        QUIET,
        LEAVE,
        REPLACE
    }

    /**
     * A run.
     *
     * @param nodes in all, the first {@code voters} of them voting
     * @param seconds of faults; after that all is whole for {@code calmMs} ms, in which work must go on
     * @param stepFaults at steps that are counted from {@link #SETTLED_MS} on
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

    /** What came of it; {@code violation} is null where nothing was broken. */
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

    /** What came of many runs; for any thread. */
    public static final class RunSummary {
        private int runs;
        private int violated;
        private long acts;
        private long unknown;
        private long epochs;
        private long lives;
        private long replaced;
        private long hard;
        private long soft;
        private long gap;
        private final Histogram gaps = new Histogram(600_000, 3);
        private long messages;
        private long bytes;
        private final List<List<Traffic.Figure>> traffic = new ArrayList<>();

        /** Gives whether a rule was broken. */
        public synchronized boolean add(Outcome one) {
            runs++;
            violated += one.violation == null ? 0 : 1;
            acts += one.actsRun;
            unknown += one.unknownClaims;
            epochs += one.epochs;
            lives += one.falselyEndedLives;
            replaced += one.replacedVoters;
            hard += one.hardAdmitted;
            soft += one.softAdmitted;
            gap = Math.max(gap, one.longestGapMs);
            one.gapsMs.forEach(gaps::recordValue);
            messages += one.messages;
            bytes += one.bytes;
            traffic.add(one.traffic);
            return one.violation != null;
        }

        public synchronized int violated() {
            return violated;
        }

        /** What nodes of each role sent and were sent, by kind, over all runs. */
        public synchronized List<Traffic.Rate> traffic() {
            return Traffic.rates(traffic);
        }

        public synchronized String text() {
            return (violated == 0 ? "ok" : "violated: " + violated) + " (" + runs + " runs, acts " + acts
                    + ", claims of unknown end " + unknown + ", epochs " + epochs + ", lives ended though the "
                    + "process lived " + lives + ", voters replaced " + replaced + ", let in by the hard budget "
                    + hard
                    + ", by the soft one " + soft + ", times without an owner "
                    + gaps.getTotalCount() + " (p50 " + gaps.getValueAtPercentile(50) + " ms, p99 "
                    + gaps.getValueAtPercentile(99) + ", worst " + gap + "), messages " + messages + ", bytes "
                    + bytes + ")";
        }
    }

    /** Work of the fleet: acts that must never be done twice, and acts that may be, by their key. */
    private static final List<String> PIECES = List.of("once-a", "once-b", "keyed-a", "keyed-b");

    public static final long CALM_MS = 15_000;
    /** By then a leader is there, and each piece has its owner. */
    public static final long SETTLED_MS = 3_000;
    /** From then on traffic is counted: all nodes have come, and have settled. */
    private static final long STEADY = 5_000;

    private static final long SAMPLE = 100;
    private static final long BEAT = 100;
    private static final long LEASE = 1_000;
    private static final double DRIFT = 0.05;
    private static final List<StandingJob> JOBS = PIECES.stream()
            .map(name -> new StandingJob(
                    name, name, "", 300, null, null, StandingJob.MissedPolicy.ALL, 300, name.startsWith("keyed")))
            .toList();
    private static final int HISTORY = 60;
    /** A budget of each mode; nodes are asked for far more, one of them at a time for most. */
    private static final List<Budget> BUDGETS =
            List.of(new Budget("hard", 0, -1, 60, 12, 20, 3, true), new Budget("soft", 1, -1, 60, 12, 20, 3, false));

    private static final long ASKED = 20;
    /** So many times a soft budget may be spent while parts of the fleet hear nothing. */
    private static final double SOFT_FACTOR = 2;

    private final Plan plan;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<String, SimulatedNode> nodes = new TreeMap<>();
    private final Map<String, Long> cutUntil = new HashMap<>();
    private final List<String> history = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Long> first = new HashMap<>();
    private final Set<String> leftOut = new HashSet<>();
    private final Set<String> unknown = new HashSet<>();
    private final Map<String, String> epochOf = new HashMap<>();
    private final Map<String, Long> unownedSince = new HashMap<>();
    private long now;
    private long order;
    private double loss;
    /** The voter that is lost for good, or is to go; one at a time. */
    private SimulatedNode lost;

    private String place;
    private String violation;
    private int faults;
    private int steps;
    private final Map<String, String> owners = new HashMap<>();
    private final double[] sum = new double[BUDGETS.size()];
    private long checkedAt = -1;
    private final double[] level = new double[BUDGETS.size()];
    private final long[] levelAt = new long[BUDGETS.size()];
    private final int[] entered = new int[BUDGETS.size()];
    private int asked;
    private int lives;
    private int replaced;
    private long longestGap;
    private final List<Long> gaps = new ArrayList<>();
    private long messages;
    private long bytes;
    private long fingerprint = 1;
    private final Traffic traffic = new Traffic();
    private long sampledAt = STEADY;

    private record Event(long at, long order, SimulatedNode to, int incarnation, Runnable what) {}

    private ClusterSimulation(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
    }

    public static Outcome run(Plan plan) {
        return new ClusterSimulation(plan).run();
    }

    /** A node: its process, its clock and its disk. */
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
        BudgetLimiter door;
        List<Allowance> allowances = List.of();
        /** What it may spend of each budget, as of the last look. */
        final double[] share = new double[BUDGETS.size()];

        SimulatedNode(String name) {
            this.name = name;
            rate = plan.faults.contains(Fault.DRIFT) ? 1 + DRIFT * (random.nextDouble() - 0.5) : 1;
            offset = 1_000 + random.nextInt(1_000_000);
        }

        void boot() {
            incarnation++;
            up = true;
            life = 0;
            standing = new StandingJobScheduler(JOBS, this, () -> now, this::work, (job, number, epoch, what) -> {
                if (what.startsWith("claimed")) {
                    first.putIfAbsent(job, number);
                } else if (what.startsWith("missed")) {
                    leftOut.add(job + "#" + number);
                } else if (what.endsWith("UNKNOWN")) {
                    unknown.add(job + "#" + number);
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
                                BEAT,
                                LEASE,
                                DRIFT),
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
                BudgetClient[] spender = new BudgetClient[1];
                door = new BudgetLimiter(
                        budgets, this::millis, (budget, perSecond) -> spender[0].updateDemand(budget, perSecond));
                spender[0] = new BudgetClient(
                        budgets,
                        this,
                        member.budgetLink(),
                        BEAT,
                        LEASE,
                        plan.plants.contains(Member.InjectedFault.GIVES_BACK_LATE),
                        all -> {
                            allowances = all;
                            door.updateAllowances(all);
                        });
                member.setSpender(spender[0]);
                member.start();
                jobs();
            } catch (MalformedMessageException e) {
                violation("a store that can't be read: " + e.getMessage());
            }
        }

        /** Clients ask; each node is the busiest for a while. */
        private void jobs() {
            boolean busiest = now / 7_000 % plan.nodes == Integer.parseInt(name.substring(1));
            for (int i = busiest ? 4 : random.nextInt(8) == 0 ? 1 : 0; i > 0; i--) {
                for (int b = 0; b < BUDGETS.size(); b++) {
                    asked++;
                    if (door.tryAdmit(millis() * 1_000, b, -1) == 0) {
                        entered(b, name);
                    }
                }
            }
            after(ASKED, this::jobs);
        }

        double share(int budget) {
            return up && !allowances.isEmpty() ? allowances.get(budget).share(millis()) : 0;
        }

        private void count(Traffic.Direction direction, MessageKind kind, int length) {
            if (now >= STEADY) {
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
            at(now + (long) Math.ceil(millis / rate), this, then);
        }

        @Override
        public void send(String to, byte[] message) {
            SimulatedNode target = nodes.get(to);
            messages++;
            bytes += message.length;
            fingerprint = fingerprint * 31 + java.util.Arrays.hashCode(message);
            MessageKind kind = MessageKind.of(message);
            count(Traffic.Direction.SENT, kind, message.length);
            if (target == null || cut(name, to) || random.nextDouble() < loss) {
                return;
            }
            int copies = random.nextDouble() < loss / 4 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long way = 1 + random.nextInt(5) + (random.nextDouble() < loss ? random.nextInt(1_500) : 0);
                int to1 = target.incarnation;
                // Danger: a datagram may reach the process that came after the one it was sent to.
                at(now + way, target, -1, () -> {
                    if (target.up && (target.incarnation == to1 || random.nextBoolean())) {
                        target.count(Traffic.Direction.RECEIVED, kind, message.length);
                        target.member.receive(message);
                    }
                });
            }
        }

        // ---- the work: standing jobs, and a wrapper that looks at their coming and going ----

        @Override
        public void owns(String piece, long epoch, long last, SortedSet<Long> open) {
            String me = name + "/" + incarnation;
            String before = epochOf.putIfAbsent(piece + "@" + epoch, me);
            tell(me + " owns " + piece + " under " + epoch + " from " + last + ", unknown " + open);
            if (before != null && !before.equals(me)) {
                violation("epoch " + epoch + " of " + piece + " went to " + before + " and to " + me);
            }
            standing.owns(piece, epoch, last, open);
        }

        /** A job is handed over after a while, and ends after another; one in twenty is refused at first. */
        private void work(
                StandingJob job, long time, long epoch, int attempt, Consumer<StandingJobScheduler.JobResult> then) {
            if (attempt == 0 && random.nextInt(20) == 0) {
                after(random.nextInt(40), () -> then.accept(StandingJobScheduler.JobResult.REFUSED));
                return;
            }
            after(random.nextInt(40), () -> {
                ran(job.name(), job.occurrenceAt(time), name + "/" + incarnation);
                after(random.nextInt(40), () -> then.accept(StandingJobScheduler.JobResult.SERVED));
            });
        }

        @Override
        public void handOver(String piece, long epoch, Runnable then) {
            standing.handOver(piece, epoch, then);
        }

        @Override
        public void lost(String piece, long epoch) {
            tell(name + "/" + incarnation + " lost " + piece + " under " + epoch);
            standing.lost(piece, epoch);
        }
    }

    private void ran(String piece, long act, String who) {
        int times = runs.merge(piece + "#" + act, 1, Integer::sum);
        tell(who + " does " + piece + "#" + act);
        if (times > 1 && piece.startsWith("once")) {
            violation(piece + "#" + act + " was done twice, last by " + who);
        }
    }

    // ---- time ----

    private void at(long time, SimulatedNode to, Runnable what) {
        at(time, to, to.incarnation, what);
    }

    private void at(long time, SimulatedNode to, int incarnation, Runnable what) {
        events.add(new Event(Math.max(time, now), order++, to, incarnation, what));
    }

    private Outcome run() {
        for (int i = 0; i < plan.nodes; i++) {
            nodes.put("n" + i, new SimulatedNode("n" + i));
        }
        nodes.values().forEach(node -> at(random.nextInt(200), node, -1, node::boot));
        long calmFrom = plan.seconds * 1_000L;
        if (plan.stepFaults.isEmpty() && !plan.faults.isEmpty()) {
            events.add(new Event(4_000, order++, null, -1, this::trouble));
        }
        SimulatedNode first = nodes.get("n0");
        switch (plan.scenario) {
            case LEAVE -> {
                events.add(new Event(SETTLED_MS, order++, null, -1, () -> begin(Fault.LEAVE, first, 2 * LEASE)));
            }
            case REPLACE -> events.add(new Event(SETTLED_MS, order++, null, -1, () -> begin(Fault.MOVE, first, 0)));
            default -> {}
        }
        events.add(new Event(calmFrom, order++, null, -1, this::calm));
        while (!events.isEmpty() && violation == null && now < calmFrom + plan.calmMs) {
            Event event = events.poll();
            now = event.at;
            sample();
            SimulatedNode to = event.to;
            if (to == null) {
                event.what.run();
            } else if (event.incarnation >= 0 && event.incarnation != to.incarnation) {
                continue;
            } else if (now < to.stalledUntil) {
                // Stalled: what would run now runs when it wakes up, in the same order.
                events.add(new Event(to.stalledUntil, event.order, to, event.incarnation, event.what));
                continue;
            } else if (!slips(event)) {
                try {
                    event.what.run();
                } catch (RuntimeException e) {
                    violation(to.name + " failed: " + e + " at " + e.getStackTrace()[0]);
                }
            }
            if (to != null) {
                lives(to);
            }
            check(to);
        }
        if (violation == null) {
            end();
        }
        return new Outcome(
                violation,
                history,
                runs.size(),
                unknown.size(),
                epochOf.size(),
                faults,
                lives,
                replaced,
                entered[0],
                entered[1],
                longestGap,
                gaps,
                messages,
                bytes,
                fingerprint,
                steps,
                traffic.figures());
    }

    /** For how long nodes had their roles, which rates of traffic are counted by. */
    private void sample() {
        for (; now >= sampledAt + SAMPLE; sampledAt += SAMPLE) {
            nodes.values().stream().filter(node -> node.up).forEach(node -> traffic.addRoleTime(node.role(), SAMPLE));
        }
    }

    /** Does to this step what the plan says; whether it is not to be carried out now. */
    private boolean slips(Event event) {
        StepFault slip = now < SETTLED_MS ? null : plan.stepFaults.get(steps++);
        if (slip == null) {
            return false;
        }
        SimulatedNode node = event.to;
        boolean message = event.incarnation < 0;
        tell("slip: " + (message ? "a message to " : "what is due at ") + node.name + ": " + slip);
        long late = now + LEASE + LEASE / 2;
        switch (slip) {
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

    private void tell(String what) {
        history.add(now + " " + what);
        if (history.size() > HISTORY) {
            history.remove(0);
        }
    }

    private void violation(String what) {
        if (violation == null) {
            violation = what;
            tell("VIOLATED: " + what);
        }
    }

    /** A life after the first of a process: the one before was ended, though the process lived. */
    private void lives(SimulatedNode node) {
        long now = node.up ? node.member.life() : 0;
        if (now > 0 && now != node.life) {
            lives += node.life > 0 ? 1 : 0;
            node.life = now;
        }
    }

    /** A job was let in: over any time no more than the rate, the burst, and a job for each node. */
    private void entered(int b, String who) {
        Budget budget = BUDGETS.get(b);
        double factor = budget.hard() ? 1 : SOFT_FACTOR;
        level[b] = 1 + Math.max(0, level[b] - (now - levelAt[b]) / 1e3 * budget.perSecond() * factor * (1 + DRIFT / 2));
        levelAt[b] = now;
        entered[b]++;
        if (level[b] > budget.burst() * factor + plan.nodes) {
            violation(budget.name() + " let in " + level[b] + " jobs beyond its rate, last at " + who);
        }
    }

    /**
     * Checks what must hold at each moment. Beliefs change with the clock, or by what their own node does: so
     * all nodes are looked at once a millisecond and where several may have changed, else the one that acted.
     */
    private void check(SimulatedNode acted) {
        if (acted == null || now != checkedAt) {
            checkedAt = now;
            owners();
            parts();
        } else {
            owners(acted);
            parts(acted);
        }
    }

    /** At no time is the sum of what all nodes may spend, each by its own clock, over the whole. */
    private void parts() {
        for (int b = 0; b < BUDGETS.size(); b++) {
            sum[b] = 0;
            for (SimulatedNode node : nodes.values()) {
                node.share[b] = node.share(b);
                sum[b] += node.share[b];
            }
        }
        sums();
    }

    private void parts(SimulatedNode acted) {
        for (int b = 0; b < BUDGETS.size(); b++) {
            double share = acted.share(b);
            sum[b] += share - acted.share[b];
            acted.share[b] = share;
        }
        sums();
    }

    private void sums() {
        for (int b = 0; b < BUDGETS.size(); b++) {
            if (sum[b] > (BUDGETS.get(b).hard() ? 1 : SOFT_FACTOR) + 1e-9) {
                violation("nodes may spend " + sum[b] + " times the budget "
                        + BUDGETS.get(b).name());
            }
        }
    }

    /** At no time do two nodes both believe, each by its own clock, that a piece is theirs. */
    private void owners() {
        owners.clear();
        for (String piece : PIECES) {
            for (SimulatedNode node : nodes.values()) {
                owner(piece, node);
            }
            unowned(piece);
        }
    }

    private void owners(SimulatedNode acted) {
        for (String piece : PIECES) {
            owners.remove(piece, acted.name);
            owner(piece, acted);
            unowned(piece);
        }
    }

    private void owner(String piece, SimulatedNode node) {
        if (node.up && node.member.owns(piece)) {
            String other = owners.put(piece, node.name);
            if (other != null) {
                violation(other + " and " + node.name + " both own " + piece);
            }
        }
    }

    private void unowned(String piece) {
        if (!owners.containsKey(piece)) {
            unownedSince.putIfAbsent(piece, now);
        } else if (unownedSince.containsKey(piece)) {
            long gap = now - unownedSince.remove(piece);
            longestGap = Math.max(longestGap, gap);
            if (now > SETTLED_MS) {
                gaps.add(gap);
            }
        }
    }

    private void describe() {
        nodes.values()
                .forEach(node -> tell(node.name + " life " + node.member.life() + " "
                        + node.member.voterStatus() + ", leader " + node.member.leader() + ", owns "
                        + node.member.owned()
                        + ", dropped " + node.member.dropped() + ", " + node.member.diagnostics()));
    }

    /** Once all is whole, each piece has an owner, and what may be done again was done. */
    private void end() {
        for (String piece : PIECES) {
            if (unownedSince.containsKey(piece)) {
                describe();
                violation("nobody owns " + piece + " since " + unownedSince.get(piece));
            }
        }
        for (StandingJob job : JOBS) {
            long last = job.occurrenceAt(now - 4 * LEASE);
            for (long number = first.getOrDefault(job.name(), last); number < last && job.repeatable(); number++) {
                if (!runs.containsKey(job.name() + "#" + number) && leftOut.isEmpty()) {
                    describe();
                    violation(job.name() + "#" + number + " is to be made up for, and was never done");
                }
            }
        }
    }

    // ---- troubles ----

    private boolean cut(String from, String to) {
        return cutUntil.getOrDefault(from + ">" + to, 0L) > now;
    }

    private SimulatedNode any() {
        return nodes.get("n" + random.nextInt(plan.nodes));
    }

    private void trouble() {
        List<Fault> kinds =
                new ArrayList<>(EnumSet.copyOf(plan.faults.isEmpty() ? EnumSet.of(Fault.DRIFT) : plan.faults));
        Fault fault = kinds.get(random.nextInt(kinds.size()));
        long length = 200 + random.nextInt(random.nextInt(10) == 0 ? 10_000 : 3_000);
        SimulatedNode node = any();
        faults++;
        if (now + length < plan.seconds * 1_000L - 500) {
            tell("trouble: " + fault + " at " + node.name + " for " + length + " ms");
            begin(fault, node, length);
        }
        events.add(new Event(now + 300 + random.nextInt(2_500), order++, null, -1, () -> {
            if (now < plan.seconds * 1_000L - 1_000) {
                trouble();
            }
        }));
    }

    private void begin(Fault fault, SimulatedNode node, long length) {
        switch (fault) {
            case LOSS -> {
                loss = random.nextDouble() * 0.3;
                later(length, () -> loss = 0);
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
                SimulatedNode other = any();
                cut(node.name, other.name, length);
                cut(other.name, node.name, length);
            }
            case FLAP -> {
                for (long t = 0; t < length; t += 300) {
                    later(t, () -> nodes.keySet().forEach(other -> cut(node.name, other, 150)));
                }
            }
            case STALL -> node.stalledUntil = Math.max(node.stalledUntil, now + length);
            case CRASH -> crash(node, length);
            case RESTART_ALL -> nodes.values().forEach(n -> crash(n, 50 + random.nextInt(500)));
            case DISK -> node.shelf.fails = true;
            case FORGET -> {
                // One voter at a time can be lost for good; a command brings another.
                if (node.up && lost == null && seats().contains(node.name)) {
                    lost = node;
                    node.crash();
                    node.shelf.forget();
                    later(length, () -> {
                        restart(node);
                        replace(node);
                    });
                }
            }
            case MOVE -> {
                if (node.up && lost == null && seats().contains(node.name)) {
                    lost = node;
                    replace(node);
                }
            }
            case LEAVE -> {
                if (node.up) {
                    node.member.setLeaving(true);
                    later(length, () -> {
                        if (node.up) {
                            node.member.setLeaving(false);
                        }
                    });
                }
            }
            default -> {}
        }
        if (fault == Fault.DISK) {
            later(length, () -> {
                node.shelf.fails = false;
                if (node.up && node.member.voterStatus() != null) {
                    // Whoever had a failing disk is started again once there is room.
                    crash(node, 50);
                }
            });
        }
    }

    /** The nodes that vote, as whoever has applied most knows. */
    private Set<String> seats() {
        Set<String> seats = new TreeSet<>();
        voters().keySet().forEach(v -> seats.add(Voter.node(v)));
        return seats;
    }

    private Map<String, Boolean> voters() {
        return nodes.values().stream()
                .filter(n -> n.up && "leads".equals(n.member.voterStatus()))
                .max(Comparator.comparingLong(n -> n.member.viewIndex()))
                .map(n -> n.member.voters())
                .orElse(Map.of());
    }

    /** An operator, who asks whichever node is up, and again until it is done. */
    private void replace(SimulatedNode gone) {
        Set<String> seats = seats();
        List<String> spare = new ArrayList<>(nodes.keySet());
        spare.removeIf(name -> seats.contains(name) && !name.equals(gone.name)
                || name.equals(gone.name) && !gone.member.voterStatus().contains("empty"));
        SimulatedNode asked = any();
        if (lost == gone && place == null && asked.up && !spare.isEmpty()) {
            String coming = spare.get(random.nextInt(spare.size()));
            asked.member.replace(gone.name, coming, LEASE, answer -> {
                if (answer != null && answer.accepted() && lost == gone) {
                    place = coming + "#" + answer.value();
                    tell("operator: " + place + " is to vote in the place of " + gone.name);
                }
            });
        }
        Map<String, Boolean> voters = voters();
        if (lost == gone && place != null && voters.getOrDefault(place, false) && voters.size() == plan.voters) {
            // Danger: lost while the other has its place in part only, a second one could be one too many.
            replaced++;
            lost = null;
            place = null;
        }
        later(2 * LEASE, () -> {
            if (lost == gone && now < plan.seconds * 1_000L + plan.calmMs / 2) {
                replace(gone);
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
            later(length, () -> restart(node));
        }
    }

    private void restart(SimulatedNode node) {
        if (!node.up) {
            node.stalledUntil = 0;
            node.boot();
        }
    }

    private void later(long millis, Runnable what) {
        events.add(new Event(now + millis, order++, null, -1, what));
    }

    private void calm() {
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
