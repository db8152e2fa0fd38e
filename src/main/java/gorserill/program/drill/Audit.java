package gorserill.program.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What workers, nodes and clients saw, and whether the rules held: a time of a job that must never run twice
 * reaches workers once at the most; an epoch is one process's; a job that may be made up for is, each time of
 * it; whoever asks a node that lives gets an answer.
 */
final class Audit {
    private static final Pattern STANDING =
        Pattern.compile("standing (\\S+) time (\\d+) epoch (\\d+) at (\\S+): (.*)");
    private static final Pattern RUN = Pattern.compile("standing-(\\S+?)-(\\d+)(?:-.*)?");
    /** Events that are kept for the report; the history of what was broken is taken from them. */
    private static final int KEPT = 200_000;

    /** Something that happened, milliseconds from the drill's start. */
    record Event(long at, String where, String what) { }

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
    }

    synchronized void violated(String subject, String what) {
        if (violation == null) {
            violation = what;
            about = subject;
            event("auditor", "VIOLATED: " + what);
        }
    }

    /** A worker began a job that came to it by this id. */
    synchronized void ran(String worker, String id) {
        Matcher run = RUN.matcher(id);
        if (!run.matches()) {
            return;
        }
        String act = run.group(1) + " time " + run.group(2);
        int times = runs.merge(act, 1, Integer::sum);
        event(worker, "runs " + act + " (" + id + ")");
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
            return;
        }
        String job = standing.group(1);
        long number = Long.parseLong(standing.group(2));
        String what = standing.group(5);
        event(node, job + " " + number + " epoch " + standing.group(3) + ": " + what);
        if (what.startsWith("owned from")) {
            String owner = node + ", process " + process;
            String before = epochs.putIfAbsent(job + " epoch " + standing.group(3), owner);
            if (before != null && !before.equals(owner)) {
                violated(job, "epoch " + standing.group(3) + " of " + job + " went to " + before + " and to "
                    + owner);
            }
        } else if (what.startsWith("claimed")) {
            claims.computeIfAbsent(job, j -> new TreeMap<>()).put(number, now());
        } else if (what.startsWith("may have run")) {
            unknown++;
        }
    }

    synchronized void asked() {
        jobs++;
    }

    synchronized void answered() {
        answers++;
    }

    /**
     * Once all has come to rest.
     *
     * @param until times up to then count, Unix milliseconds
     * @param every milliseconds from time to time of each job
     */
    synchronized void end(List<String> names, long until, long every) {
        for (String job : names) {
            TreeMap<Long, Long> claimed = claims.get(job);
            if (claimed == null) {
                violated(job, job + " was never fired");
                continue;
            }
            for (long number = claimed.firstKey(); number * every < until
                && job.startsWith("keyed"); number++) {
                if (!runs.containsKey(job + " time " + number * every)) {
                    violated(job, job + " time " + number + " (" + number * every + ") was never run, though "
                        + "missed times are to be made up for");
                    break;
                }
            }
        }
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

    synchronized String violation() {
        return violation;
    }

    /** What led to the violation: everything about its subject, and the faults. */
    synchronized List<Event> history() {
        return events.stream().filter(e -> about == null || e.where().equals(about)
            || e.what().contains(about)
            || e.what().startsWith("fault")).toList();
    }

    synchronized List<Event> events() {
        return List.copyOf(events);
    }

    synchronized String counts() {
        return "jobs " + jobs + ", answers " + answers + ", acts " + runs.size() + ", owners " + epochs.size()
            + ", may have run " + unknown + ", faults " + faults + ", longest time between acts "
            + longestGap()
            + " ms";
    }
}
