package gorserill.protocol.faktory;

import barrowflow.Dispatcher.Outcome;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.common.ThrottledWarnings;
import gorserill.routing.Attempt;
import gorserill.routing.BodyFormat;
import gorserill.routing.JobSpec;
import gorserill.routing.Load;
import gorserill.routing.WorkerPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A Faktory worker process, identified by its {@code wid} across all of its connections. Each pending FETCH counts as
 * a free slot. A job that was sent to the worker is reserved until ACK, FAIL, the loss of its connection or the end of
 * its reservation time.
 */
final class FaktoryWorker implements WorkerPort {
    private static final byte[] EMPTY_RESULT = {};
    /** How long a job waits for a FETCH before it is returned to the core, not started. */
    private static final long MAX_WAIT_MICROS = 500_000;

    /** A connection of this worker that has a pending FETCH. */
    interface Fetcher {
        /** The queues named by the FETCH, in order of preference. */
        List<String> queues();

        /** Runs the task on the loop's thread after pending reads, which show the clients that have disconnected. */
        void runAfterReads(Runnable task);

        /**
         * Sends the work unit to the worker and returns whether its last byte has been written so far.
         *
         * @param onWritten called on any thread once the last byte has been written
         */
        BooleanSupplier send(byte[] unit, Runnable onWritten);
    }

    /** A job that was sent to the worker and has no result yet. */
    private static final class Reservation {
        final Attempt attempt;
        final Fetcher holder;
        BooleanSupplier isWritten;
        Deadline timeout;

        Reservation(Attempt attempt, Fetcher holder) {
            this.attempt = attempt;
            this.holder = holder;
        }
    }

    /** A job that waits for a FETCH of its queue. */
    private static final class WaitingJob {
        final Attempt attempt;
        final JobSpec spec;
        final String queue;
        final long reserveForSeconds;
        Deadline timeout;

        WaitingJob(Attempt attempt, JobSpec spec, String queue, long reserveForSeconds) {
            this.attempt = attempt;
            this.spec = spec;
            this.queue = queue;
            this.reserveForSeconds = reserveForSeconds;
        }
    }

    final String wid;
    final long id;
    private final Loop loop;
    private final Supplier<FaktorySettings> settings;
    private final ThrottledWarnings warnings;
    private final Deque<Fetcher> fetchers = new ArrayDeque<>();
    private final Deque<WaitingJob> waiting = new ArrayDeque<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    /** Jids of jobs abandoned by the node while this worker held them; a later ACK or FAIL for them is ignored. */
    private final Set<String> abandoned = new HashSet<>();

    /** The largest number of slots seen so far: pending FETCHes plus reservations. */
    private int maxSlots = 1;

    private boolean left;

    /**
     * @param settings supplies the settings currently in force
     * @param warnings receives what is unusual about the worker's commands
     */
    FaktoryWorker(Loop loop, Supplier<FaktorySettings> settings, String wid, long id, ThrottledWarnings warnings) {
        this.warnings = warnings;
        this.loop = loop;
        this.settings = settings;
        this.wid = wid;
        this.id = id;
    }

    // ---- called by the core ----

    @Override
    public void start(Attempt attempt, JobSpec spec, long expires) {
        String jid = spec.id();
        // ACK and FAIL identify a job by its jid only, so a worker must not hold two jobs with the same jid.
        if (left || reservations.containsKey(jid) || abandoned.contains(jid) || waiting.size() >= maxSlots) {
            loop.execute(() -> attempt.ended(Outcome.REJECTED, null, freeSlots(0)));
            return;
        }
        if (!FaktoryJob.canCarry(spec)) {
            warnings.add("body is not text", "worker " + wid + " is not given request " + jid);
            loop.execute(() -> attempt.ended(Outcome.NOT_SENT, null, freeSlots(0)));
            return;
        }
        WaitingJob next = toWaitingJob(attempt, spec);
        waiting.add(next);
        next.timeout = loop.at(Math.min(expires, loop.now() + MAX_WAIT_MICROS), () -> {
            waiting.remove(next);
            attempt.ended(Outcome.REJECTED, null, freeSlots(0));
        });
        match();
    }

    @Override
    public boolean abort(Attempt attempt) {
        for (Iterator<WaitingJob> all = waiting.iterator(); all.hasNext(); ) {
            WaitingJob next = all.next();
            if (next.attempt == attempt) {
                loop.cancel(next.timeout);
                all.remove();
                return true;
            }
        }
        Reservation reservation = reservations.get(attempt.requestId());
        if (reservation == null || reservation.attempt != attempt) {
            return true;
        }
        reservations.remove(attempt.requestId());
        loop.cancel(reservation.timeout);
        abandoned.add(attempt.requestId());
        return false;
    }

    // ---- called by the worker's connections ----

    void fetch(Fetcher fetcher) {
        fetchers.add(fetcher);
        maxSlots = Math.max(maxSlots, fetchers.size() + reservations.size());
        match();
    }

    /** Assigns waiting jobs after pending reads, because one of them may show that a job's client has disconnected. */
    private void match() {
        if (!waiting.isEmpty() && !fetchers.isEmpty()) {
            fetchers.peek().runAfterReads(this::assignWaiting);
        }
    }

    /** Serves the FETCHes in order of arrival; each takes the first waiting job of its queues, in their named order. */
    private void assignWaiting() {
        for (Fetcher fetcher : List.copyOf(fetchers)) {
            for (WaitingJob next = firstFor(fetcher); next != null && !reserve(next, fetcher); ) {
                next = firstFor(fetcher);
            }
        }
    }

    private WaitingJob firstFor(Fetcher fetcher) {
        for (String queue : fetcher.queues()) {
            for (WaitingJob next : waiting) {
                if (next.queue.equals(queue)) {
                    return next;
                }
            }
        }
        return null;
    }

    /** Cancels a pending FETCH; returns whether there was one. */
    boolean cancelFetch(Fetcher fetcher) {
        return fetchers.remove(fetcher);
    }

    void ack(String jid) {
        settle(jid, Outcome.SERVED, EMPTY_RESULT);
    }

    void fail(String jid) {
        settle(jid, Outcome.ERROR, null);
    }

    private void settle(String jid, Outcome outcome, byte[] result) {
        Reservation reservation = reservations.remove(jid);
        if (reservation == null) {
            warnings.add("late word", "worker " + wid + " on job " + jid + ": " + outcome + "; nothing changes");
            abandoned.remove(jid);
            return;
        }
        loop.cancel(reservation.timeout);
        reservation.attempt.ended(outcome, result, freeSlots(1));
    }

    /**
     * Ends the reservations of a lost connection. A job whose unit was not completely written has not run; any other
     * may have run.
     */
    void connectionLost(Fetcher holder) {
        cancelFetch(holder);
        for (String jid : List.copyOf(reservations.keySet())) {
            if (reservations.get(jid).holder == holder) {
                Reservation reservation = reservations.remove(jid);
                loop.cancel(reservation.timeout);
                abandoned.add(jid);
                boolean neverSent = !reservation.isWritten.getAsBoolean();
                reservation.attempt.ended(neverSent ? Outcome.CONNECT_FAILED : Outcome.RESET, null, Load.NONE);
            }
        }
    }

    /** Called when the worker's last connection has closed. Jobs that still wait were never sent to it. */
    void leave() {
        left = true;
        returnWaiting(Outcome.CONNECT_FAILED);
    }

    /** Returns all waiting jobs to the core; jobs that the worker holds run to their end. */
    @Override
    public void outOfService() {
        returnWaiting(Outcome.NOT_SENT);
    }

    private void returnWaiting(Outcome outcome) {
        for (WaitingJob next : new ArrayList<>(waiting)) {
            loop.cancel(next.timeout);
            next.attempt.ended(outcome, null, Load.NONE);
        }
        waiting.clear();
    }

    /** Sends a job to the worker. If the attempt may no longer begin, returns it to the core and returns false. */
    private boolean reserve(WaitingJob next, Fetcher fetcher) {
        waiting.remove(next);
        loop.cancel(next.timeout);
        if (!next.attempt.tryBegin()) {
            loop.execute(() -> next.attempt.ended(Outcome.NOT_SENT, null, freeSlots(0)));
            return false;
        }
        fetchers.remove(fetcher);
        Reservation reservation = new Reservation(next.attempt, fetcher);
        String jid = next.spec.id();
        reservations.put(jid, reservation);
        maxSlots = Math.max(maxSlots, fetchers.size() + reservations.size());
        if (next.reserveForSeconds > 0) {
            reservation.timeout = loop.at(loop.now() + next.reserveForSeconds * 1_000_000, () -> {
                reservations.remove(jid);
                abandoned.add(jid);
                reservation.attempt.ended(Outcome.TIMEOUT, null, Load.NONE);
            });
        }
        reservation.isWritten = fetcher.send(
                FaktoryJob.encodeWorkUnit(next.spec, next.queue, settings.get().jobtypeFor(next.spec.jobClass())),
                next.attempt::written);
        // Posted as a separate event, because the core may be on the call stack.
        loop.execute(next.attempt::started);
        return true;
    }

    private WaitingJob toWaitingJob(Attempt attempt, JobSpec spec) {
        if (spec.bodyFormat() == BodyFormat.WORK_UNIT) {
            try {
                FaktoryJob job = FaktoryJob.parse(new String(spec.body(), StandardCharsets.UTF_8));
                return new WaitingJob(attempt, spec, job.queue(), job.reserveForSeconds());
            } catch (IOException e) {
                throw new UncheckedIOException("a work unit that parsed on PUSH no longer parses", e);
            }
        }
        return new WaitingJob(attempt, spec, settings.get().queueFor(spec.jobClass()), 0);
    }

    /** Reports pending FETCHes as free slots, plus finished jobs, since their slots will send FETCH again. */
    private Load freeSlots(int finished) {
        return new Load(fetchers.size() + finished, Double.NaN);
    }
}
