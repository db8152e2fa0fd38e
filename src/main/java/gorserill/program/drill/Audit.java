package gorserill.program.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What workers, nodes and clients saw, and whether the rules held: a time of a job that must never run twice
 * reaches workers once at the most; an epoch is one process's; a job that may be made up for is, each time of
 * it; whoever asks a node that lives gets an answer.
 */
final class Audit {
    private static final Pattern STANDING = Pattern.compile("standing (\\S+) time (\\d+) epoch (\\d+) at (\\S+): (.*)");
    /** The budget that is drilled: jobs a second, and at once. */
    static final int RATE = 40;

    static final int BURST = 10;
    /** Further attempts that are drilled, as a part of first ones. */
    static final int AGAIN_PERCENT = 1;
    /** Of the last answers about so many count, and so many must be good, for all to be well. */
    private static final double WEIGHT = 0.02;

    private static final double WELL = 0.95;
    /** Seconds that a job may be held at its node before a worker has it; refused ones are not. */
    private static final double HELD = 0.25;

    private static final String LEFT_OUT = "missed, and left out: all until ";
    private static final Pattern ADDRESS = Pattern.compile("address epoch (\\d+) at (\\S+): (.*)");
    private static final Pattern RUN = Pattern.compile("standing-(\\S+?)-(\\d+)(?:-.*)?");
    /** Events that are kept for the report; the history of what was broken is taken from them. */
    private static final int KEPT = 200_000;

    /** Something that happened, milliseconds from the drill's start. */
    record Event(long at, String where, String what) {}

    private final long start = System.currentTimeMillis();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, String> epochs = new HashMap<>();
    private final Map<String, TreeMap<Long, Long>> claims = new TreeMap<>();
    private final Map<String, Integer> faults = new TreeMap<>();
    private String violation;
    private String about;
    private int answers;
    private int jobs;
    private int unknown;
    /** What jobs of the fleet came with: the job's name and its owner's epoch. */
    private final Set<String> fences = new HashSet<>();

    private final Set<String> leftOut = new HashSet<>();
    private final Takeovers takeovers = new Takeovers();
    private final List<Map.Entry<String, Long>> announced = new ArrayList<>();
    private final Set<String> spent = new HashSet<>();
    private int runsOfClients;
    private double lately;
    private long sickUntil;
    private long recovery;
    private double deepest = Double.MAX_VALUE;
    private double level;
    private double worst;
    private long levelAt;
    private String budget = "";
    private double cpu;
    private double held;

    /** An address was taken by the registry. */
    synchronized void announced(String value, long epoch) {
        announced.add(Map.entry(value, epoch));
    }

    /**
     * What the processes that live used: CPU as a part of a core, and memory in MB, of the one that has most.
     */
    synchronized void used(List<NodeProcess> nodes, long seconds) {
        for (NodeProcess node : nodes) {
            if (node.process != null && node.alive()) {
                double[] its = node.used();
                cpu = Math.max(cpu, its[0] / seconds);
                held = Math.max(held, its[1]);
            }
        }
    }

    /** A node is about to end as planned. */
    synchronized void byPlan(String node) {
        takeovers.fault(node, now(), Takeovers.Cause.PLAN);
    }

    synchronized void event(String where, String what) {
        if (events.size() < KEPT) {
            events.add(new Event(now(), where, what));
        }
    }

    long now() {
        return System.currentTimeMillis() - start;
    }

    synchronized void fault(String kind, String where, String what) {
        faults.merge(kind, 1, Integer::sum);
        event(where, "fault: " + what);
        if (!kind.equals("leave")) {
            takeovers.fault(where, now(), Takeovers.Cause.FAULT);
        }
    }

    synchronized void violated(String subject, String what) {
        if (violation == null) {
            violation = what;
            about = subject;
            event("auditor", "VIOLATED: " + what);
        }
    }

    /** The fleet's budget is drilled, by so many nodes; 0 where it is not. */
    synchronized void bounds(int nodes) {
        deepest = nodes == 0 ? Double.MAX_VALUE : BURST + nodes + RATE * HELD;
    }

    /**
     * A client's job reached a worker. Each counts once, however often it is tried; it may have been held at
     * its node for as long as its client waits.
     */
    private void spends(String id) {
        runsOfClients++;
        if (spent.add(id)) {
            long now = now();
            level = Math.max(0, level - (now - levelAt) / 1e3 * RATE) + 1;
            levelAt = now;
            worst = Math.max(worst, level);
            if (level > deepest) {
                violated(
                        "budget",
                        "jobs beyond the budget of " + RATE + " a second and " + BURST + " at once: "
                                + Math.round(level) + ", " + Math.round(deepest) + " at the most");
            }
        }
    }

    /** How much of the budget was used, where one is drilled. */
    synchronized void spent(boolean drilled, long seconds) {
        budget = !drilled
                ? ""
                : ", of the budget used %.2f, level at most %.0f of %.0f"
                        .formatted(spent.size() / (double) RATE / seconds, worst, deepest);
    }

    /** A worker began a job that came to it by this id. */
    synchronized void ran(String worker, String id, String fence) {
        Matcher run = RUN.matcher(id);
        if (!run.matches()) {
            spends(id);
            return;
        }
        String act = run.group(1) + " time " + run.group(2);
        int times = runs.merge(act, 1, Integer::sum);
        event(worker, "runs " + act + " (" + id + ")");
        fences.add(String.valueOf(fence));
        if (fence == null || !fence.startsWith(run.group(1) + " ")) {
            violated(run.group(1), act + " came with the fence " + fence);
        }
        if (times > 1 && act.startsWith("once")) {
            violated(run.group(1), act + " must never run twice and reached workers " + times + " times");
        }
    }

    /** A line of a node's log. */
    synchronized void line(String node, int process, String line) {
        Matcher standing = STANDING.matcher(line);
        if (line.contains("SEVERE") && !line.contains("planted fault")) {
            violated(node, "a node says SEVERE: " + line);
        } else if (!standing.find()) {
            Matcher address = ADDRESS.matcher(line);
            if (address.find()) {
                event(node, "address 0 epoch " + address.group(1) + ": " + address.group(3));
                owned("address", address.group(1), node, process, address.group(3));
            }
            return;
        }
        String job = standing.group(1);
        long number = Long.parseLong(standing.group(2));
        String what = standing.group(5);
        event(node, job + " " + number + " epoch " + standing.group(3) + ": " + what);
        owned(job, standing.group(3), node, process, what);
        if (what.startsWith("claimed")) {
            claims.computeIfAbsent(job, j -> new TreeMap<>()).put(number, now());
        } else if (what.startsWith(LEFT_OUT)) {
            // So many are made up for and no more, as the operators' page says.
            for (long n = number; n <= Long.parseLong(what.substring(LEFT_OUT.length())); n++) {
                leftOut.add(job + " time " + n);
            }
        } else if (what.startsWith("may have run")) {
            unknown++;
        }
    }

    private void owned(String piece, String epoch, String node, int process, String what) {
        if (what.startsWith("owned no more")) {
            takeovers.letGo(piece, node, now());
        } else if (what.startsWith("owned from")) {
            takeovers.owned(piece, node, now());
            String owner = node + ", process " + process;
            String before = epochs.putIfAbsent(piece + " epoch " + epoch, owner);
            if (before != null && !before.equals(owner)) {
                violated(piece, "epoch " + epoch + " of " + piece + " went to " + before + " and to " + owner);
            }
        }
    }

    synchronized void asked() {
        jobs++;
    }

    /** @param served whether its job was done */
    synchronized void answered(boolean served) {
        answers++;
        lately = lately * (1 - WEIGHT) + (served ? WEIGHT : 0);
        if (sickUntil > 0 && now() > sickUntil && lately > WELL) {
            recovery = Math.max(recovery, now() - sickUntil);
            sickUntil = 0;
        }
    }

    /** Most workers are ill until then. */
    synchronized void sick(long until) {
        sickUntil = until;
    }

    /** Where a storm is drilled, how many attempts were made for a first one. */
    synchronized void attempts(boolean drilled) {
        if (drilled) {
            double factor = runsOfClients / (double) Math.max(1, spent.size());
            budget = ", attempts a first try %.2f, well again after %d ms at most".formatted(factor, recovery);
            if (factor > 1.005 + AGAIN_PERCENT / 100.0) {
                violated(
                        "storm",
                        "%.2f attempts a first try, %.2f at the most".formatted(factor, 1 + AGAIN_PERCENT / 100.0));
            }
        }
    }

    /**
     * Once all has come to rest.
     *
     * @param until times up to then count, Unix milliseconds
     * @param every milliseconds from time to time of each job
     * @param byAddress nodes by their clients' addresses
     */
    synchronized void end(List<String> names, long until, long every, Map<String, String> byAddress) {
        for (String fence : fences) {
            if (!epochs.containsKey(fence.replace(" ", " epoch "))) {
                violated(fence, "a job came with the fence " + fence + ", an epoch that nobody said to have");
            }
        }
        for (Map.Entry<String, Long> one : announced) {
            String owner = epochs.getOrDefault("address epoch " + one.getValue(), "nobody");
            if (!owner.startsWith(byAddress.get(one.getKey()) + ",")) {
                violated(
                        "address",
                        one.getKey() + " was announced under epoch " + one.getValue() + ", which is " + owner + "'s");
            }
        }
        for (String job : names) {
            TreeMap<Long, Long> claimed = claims.get(job);
            if (claimed == null) {
                violated(job, job + " was never fired");
                continue;
            }
            long missing = missing(job, claimed, until, every);
            if (missing > 0) {
                violated(
                        job,
                        job + " time " + missing + " (" + missing * every + ") was never run, though "
                                + "missed times are to be made up for");
            }
        }
    }

    /** The first time of a job that may be made up for and was not; 0 where there is none. */
    private long missing(String job, TreeMap<Long, Long> claimed, long until, long every) {
        for (long number = claimed.firstKey(); number * every < until && job.startsWith("keyed"); number++) {
            if (!runs.containsKey(job + " time " + number * every) && !leftOut.contains(job + " time " + number)) {
                return number;
            }
        }
        return 0;
    }

    /** Whether each missed time up to then was made up for. */
    synchronized boolean madeUp(List<String> names, long until, long every) {
        return names.stream()
                .allMatch(job -> claims.containsKey(job) && missing(job, claims.get(job), until, every) == 0);
    }

    /** The longest time between two claims of one job, milliseconds. */
    synchronized long longestGap() {
        long longest = 0;
        for (TreeMap<Long, Long> job : claims.values()) {
            List<Long> times = job.values().stream().sorted().toList();
            for (int i = 1; i < times.size(); i++) {
                longest = Math.max(longest, times.get(i) - times.get(i - 1));
            }
        }
        return longest;
    }

    Takeovers takeovers() {
        return takeovers;
    }

    synchronized String violation() {
        return violation;
    }

    /** What led to the violation: everything about its subject, and the faults. */
    synchronized List<Event> history() {
        return events.stream()
                .filter(e -> about == null
                        || e.where().equals(about)
                        || e.what().contains(about)
                        || e.what().startsWith("fault"))
                .toList();
    }

    synchronized List<Event> events() {
        return List.copyOf(events);
    }

    synchronized String counts() {
        return "jobs " + jobs + ", answers " + answers + ", acts " + runs.size() + ", owners " + epochs.size()
                + ", may have run " + unknown + ", faults " + faults + ", longest time between acts "
                + longestGap() + " ms" + budget + ", " + takeovers.text() + ", announced " + announced.size()
                + ", a node's most: %.3f of a core, %.0f MB".formatted(cpu, held);
    }
}
