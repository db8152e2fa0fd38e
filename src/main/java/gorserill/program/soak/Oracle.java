package gorserill.program.soak;

import gorserill.program.soak.FleetHistory.Change;
import gorserill.program.soak.FleetHistory.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What clients, workers and discovery saw, held against the rules once the run is over. It knows nothing of the nodes
 * but their answers. Times are milliseconds of the run's clock.
 */
final class Oracle {
    /** Every time limit on sockets is so much longer. */
    private static final double SLACK = 50;

    private static final double DRAIN_GRACE = 500;
    /** Whatever discovery has counts as told so long after, whether or not it was. */
    private static final double TOLD_AT_LATEST = 6_000;

    /** What discovery has as it moves counts as told so long after. */
    private static final double TOLD_AFTER_MOVE = 4_000;

    /** What a silent watch misses counts as told so long after its wait, if that is later. */
    private static final double TOLD_AFTER_WAIT = 2_000;

    /** A client that closed is known to have left so much later. */
    private static final double LEAVE_GRACE = 100;
    /** An answer this much after the client's time earns nothing; a later one is a lost request. */
    private static final double LATE_ANSWER = 500;

    private static final double TIME_SLACK = 150;
    /** A stamp is taken so near to what it is for, but for pauses of this process. */
    private static final double AROUND = 20;

    /** Rules that hang on times shorter than what a busy machine may hold this process up. */
    private static final Set<String> TIMED = Set.of("drain", "lost", "deadline");
    /** Stamps tell nothing of nodes where this process stood still for more of the time. */
    private static final double MOST_OWN_PAUSES = 0.01;

    /** Why a rule is broken, and when that was seen. */
    record Violation(double at, String rule, String what) {
        boolean timed() {
            return TIMED.contains(rule);
        }
    }

    /** A client's request and what became of it. */
    static final class Request {
        final String id;
        final int node;
        final JobClass jobClass;
        final int remaining;
        /** Right after it was written, the last time if it was sent again. */
        volatile double sentAt;

        double leftAt = Double.NaN;
        double answeredAt = Double.NaN;
        int answers;
        int status;
        String lost;

        Request(String id, int node, JobClass jobClass, int remaining) {
            this.id = id;
            this.node = node;
            this.jobClass = jobClass;
            this.remaining = remaining;
        }
    }

    /** A job that reached a worker: its first byte, and its last. */
    record Send(int worker, String id, String key, double firstByte, double lastByte, int remaining) {}

    private record Told(long version, double at) {}

    /** A watch that says nothing: what is changed until it is given up counts as told at its deadline. */
    static final class Silence {
        private final double from;
        private final double deadline;
        private volatile double until = Double.POSITIVE_INFINITY;

        private Silence(double from, double deadline) {
            this.from = from;
            this.deadline = deadline;
        }

        /** The node has closed it. */
        void ended(double at) {
            until = at;
        }

        private boolean hides(Change change) {
            return change.at() >= from && change.at() <= Math.min(until, deadline);
        }
    }

    /** While a process stands it can't answer. */
    private record Pause(double from, double until) {}

    private record Note(double at, String text) {}

    private final FleetHistory fleet;
    private final OwnPauses own;
    private final Map<String, Request> requests = new HashMap<>();
    private final List<Send> sends = new ArrayList<>();
    private final Map<Integer, List<Told>> told = new HashMap<>();
    private final Map<Integer, List<Silence>> silences = new HashMap<>();
    private final Map<Integer, List<Double>> moves = new HashMap<>();
    private final Map<Integer, List<Pause>> pauses = new HashMap<>();
    private final List<Note> notes = new ArrayList<>();

    Oracle(FleetHistory fleet, OwnPauses own) {
        this.fleet = fleet;
        this.own = own;
    }

    synchronized void note(double at, String text) {
        notes.add(new Note(at, text));
    }

    /** Discovery wrote an answer with this version to a node, or would have to have done so by then. */
    synchronized void told(int node, long version, double at) {
        told.computeIfAbsent(node, n -> new ArrayList<>()).add(new Told(version, at));
        note(at, "discovery writes version " + version + " to n" + node);
    }

    /** A watch of a node falls silent, whose call may wait for so long. */
    synchronized Silence silent(int node, double from, long wait) {
        double deadline = from + Math.max(TOLD_AT_LATEST, wait + TOLD_AFTER_WAIT);
        Silence silence = new Silence(from, deadline);
        silences.computeIfAbsent(node, n -> new ArrayList<>()).add(silence);
        note(from, "a watch of n" + node + " falls silent");
        return silence;
    }

    /** A node was told of another address of discovery. */
    synchronized void moved(int node, double at) {
        moves.computeIfAbsent(node, n -> new ArrayList<>()).add(at);
        note(at, "SIGHUP n" + node + ", which moves");
    }

    /** A node's process was stopped, and goes on. */
    synchronized void paused(int node, double from, double until) {
        pauses.computeIfAbsent(node, n -> new ArrayList<>()).add(new Pause(from, until));
        note(until, "SIGCONT n" + node);
    }

    synchronized void submitted(Request request) {
        requests.put(request.id, request);
    }

    synchronized void sent(Send send) {
        sends.add(send);
    }

    /** The worker that a job reached last; {@code otherwise} if none has. */
    synchronized int workerOfLastSend(int otherwise) {
        return sends.isEmpty() ? otherwise : sends.get(sends.size() - 1).worker();
    }

    /** All that was violated, the first first. */
    synchronized List<Violation> violations() {
        List<Violation> all = new ArrayList<>();
        sends.forEach(send -> checkDrain(send, all));
        sends.forEach(send -> checkClient(send, all));
        checkRuns(all);
        requests.values().forEach(request -> checkAnswer(request, all));
        all.sort(Comparator.comparingDouble(Violation::at));
        return all;
    }

    /** What was seen around a time. */
    synchronized List<String> around(double at, double before, double after) {
        return notes.stream()
                .filter(note -> note.at() >= at - before && note.at() <= at + after)
                .sorted(Comparator.comparingDouble(Note::at))
                .map(note -> String.format(Locale.ROOT, "%9.1f %s", note.at(), note.text()))
                .toList();
    }

    synchronized String summary() {
        long served = requests.values().stream().filter(r -> r.status == 200).count();
        long refused = requests.values().stream()
                .filter(r -> r.status == 503 || r.status == 429)
                .count();
        long left =
                requests.values().stream().filter(r -> !Double.isNaN(r.leftAt)).count();
        return requests.size() + " requests, " + served + " served, " + refused + " refused, " + left + " left, "
                + sends.size() + " sends, own pauses " + Math.round(own.all()) + " ms";
    }

    /** Whether this process had the machine enough for rules of time to be judged. */
    boolean judgesTimes(double runMillis) {
        return own.all() <= runMillis * MOST_OWN_PAUSES;
    }

    private double toldAt(int node, Change change) {
        double at = change.at() + TOLD_AT_LATEST;
        for (Told its : told.getOrDefault(node, List.of())) {
            if (its.version() >= change.version()) {
                at = Math.min(at, its.at());
            }
        }
        for (Silence silence : silences.getOrDefault(node, List.of())) {
            if (silence.hides(change)) {
                at = Math.min(at, silence.deadline);
            }
        }
        for (double move : moves.getOrDefault(node, List.of())) {
            if (change.at() <= move) {
                at = Math.min(at, move + TOLD_AFTER_MOVE);
            }
        }
        return at;
    }

    private void checkDrain(Send send, List<Violation> all) {
        Request request = requests.get(send.id());
        Change last = null;
        for (Change change : fleet.changes()) {
            if (change.entry().worker() == send.worker() && change.at() <= send.firstByte()) {
                last = change;
            }
        }
        if (request == null || last == null || last.entry().status() == Status.IN_SERVICE) {
            return;
        }
        Change began = beginOfDrain(last);
        double told = toldAt(request.node, began);
        double late =
                send.firstByte() - told - DRAIN_GRACE - SLACK - own.within(told - AROUND, send.firstByte() + AROUND);
        if (late > 0) {
            all.add(new Violation(
                    send.firstByte(),
                    "drain",
                    String.format(
                            Locale.ROOT,
                            "n%d sent %s to w%d %.0f ms after the grace; version %d was made at %.1f, told at %.1f",
                            request.node,
                            send.id(),
                            send.worker(),
                            late,
                            began.version(),
                            began.at(),
                            toldAt(request.node, began))));
        }
    }

    /** A worker that is gone may have drained before, and was out of service from then on. */
    private Change beginOfDrain(Change last) {
        Change first = last;
        boolean inService = true;
        for (Change change : fleet.changes()) {
            if (change.entry().worker() == last.entry().worker() && change.version() <= last.version()) {
                first = inService ? change : first;
                inService = change.entry().status() == Status.IN_SERVICE;
            }
        }
        return first;
    }

    private void checkClient(Send send, List<Violation> all) {
        Request request = requests.get(send.id());
        if (request == null) {
            all.add(new Violation(send.firstByte(), "foreign", send.id() + " was sent by no client"));
            return;
        }
        double ownPause = own.within(request.leftAt - AROUND, send.firstByte() + AROUND);
        if (send.firstByte() > request.leftAt + LEAVE_GRACE + ownPause) {
            all.add(new Violation(
                    send.firstByte(),
                    "lost",
                    String.format(
                            Locale.ROOT,
                            "n%d sent %s %.0f ms after its client left",
                            request.node,
                            send.id(),
                            send.firstByte() - request.leftAt)));
        }
        double left = request.sentAt + request.remaining - send.lastByte();
        if (send.remaining() > left + TIME_SLACK + own.within(request.sentAt - AROUND, send.lastByte() + AROUND)) {
            all.add(new Violation(
                    send.lastByte(),
                    "deadline",
                    String.format(
                            Locale.ROOT,
                            "n%d gave %s %d ms where its client had %.0f left",
                            request.node,
                            send.id(),
                            send.remaining(),
                            left)));
        }
    }

    private void checkRuns(List<Violation> all) {
        Map<String, Send> first = new HashMap<>();
        for (Send send : sends) {
            Request request = requests.get(send.id());
            Send before = first.putIfAbsent(send.id(), send);
            if (before != null && request != null && request.jobClass == JobClass.ALERT) {
                all.add(new Violation(
                        send.firstByte(),
                        "duplicate",
                        send.id() + " ran at w" + before.worker() + " and at w" + send.worker()));
            }
        }
    }

    private void checkAnswer(Request request, List<Violation> all) {
        if (!Double.isNaN(request.leftAt)) {
            return;
        }
        double end = request.sentAt + request.remaining + LATE_ANSWER;
        end += own.within(request.sentAt - AROUND, end + LATE_ANSWER);
        for (Pause pause : pauses.getOrDefault(request.node, List.of())) {
            if (pause.from() < end && pause.until() > request.sentAt) {
                end = Math.max(end, pause.until() + LATE_ANSWER);
            }
        }
        if (request.lost != null || request.answers == 0 || request.answeredAt > end) {
            all.add(new Violation(
                    Math.min(end, Double.isNaN(request.answeredAt) ? end : request.answeredAt),
                    "lost",
                    String.format(
                            Locale.ROOT,
                            "n%d gave %s, sent at %.1f with %d ms, %s",
                            request.node,
                            request.id,
                            request.sentAt,
                            request.remaining,
                            request.lost != null
                                    ? "no answer: " + request.lost
                                    : "its answer at " + request.answeredAt)));
        } else if (request.answers > 1) {
            all.add(new Violation(request.answeredAt, "answers", request.id + " has " + request.answers + " answers"));
        }
    }
}
