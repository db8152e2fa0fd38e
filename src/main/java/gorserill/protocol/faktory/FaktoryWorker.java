package gorserill.protocol.faktory;

import barrowflow.Dispatcher.Outcome;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.routing.Attempt;
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
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A worker process of the protocol, one {@code wid} over all its connections. A waiting FETCH is a free slot;
 * a job handed out is reserved until ACK, FAIL, the drop of its connection or the end of its time.
 */
final class FaktoryWorker implements WorkerPort {
    private static final Logger LOG = Logger.getLogger(FaktoryWorker.class.getName());
    private static final byte[] NOTHING = {};
    /** A job waits so long for a FETCH before it goes back to the core, unstarted. */
    private static final long PATIENCE = 500_000;

    /** Whoever asked for a job, a connection of this worker's. */
    interface Fetcher {
        List<String> queues();

        /** Runs it on the loop's thread once it is known which clients have gone. */
        void afterReads(Runnable then);

        /**
         * Gives what tells whether the unit's last byte was written.
         *
         * @param written is told so as well, on whichever thread
         */
        BooleanSupplier handOut(byte[] unit, Runnable written);
    }

    private static final class Reservation {
        final Attempt attempt;
        final Fetcher holder;
        BooleanSupplier written;
        Deadline end;

        Reservation(Attempt attempt, Fetcher holder) {
            this.attempt = attempt;
            this.holder = holder;
        }
    }

    private static final class Waiting {
        final Attempt attempt;
        final JobSpec work;
        final String queue;
        final long reserveFor;
        Deadline end;

        Waiting(Attempt attempt, JobSpec work, String queue, long reserveFor) {
            this.attempt = attempt;
            this.work = work;
            this.queue = queue;
            this.reserveFor = reserveFor;
        }
    }

    final String wid;
    final long id;
    private final Loop loop;
    private final Supplier<FaktorySettings> terms;
    private final Deque<Fetcher> fetchers = new ArrayDeque<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    /** Jobs that the node has given up while this worker had them: its word on them changes nothing. */
    private final Set<String> givenUp = new HashSet<>();

    private int mostSlots = 1;
    private boolean gone;

    /** @param terms those in force at the moment */
    FaktoryWorker(Loop loop, Supplier<FaktorySettings> terms, String wid, long id) {
        this.loop = loop;
        this.terms = terms;
        this.wid = wid;
        this.id = id;
    }

    // ---- from the core ----

    @Override
    public void start(Attempt attempt, JobSpec work, long expires) {
        String jid = work.id();
        // A word on a job is told apart by its jid alone, so a worker holds no two jobs of one.
        if (gone || reservations.containsKey(jid) || givenUp.contains(jid) || waiting.size() >= mostSlots) {
            loop.execute(() -> attempt.ended(Outcome.REJECTED, null, free(0)));
            return;
        }
        Waiting next = waiting(attempt, work);
        waiting.add(next);
        next.end = loop.at(Math.min(expires, loop.now() + PATIENCE), () -> {
            waiting.remove(next);
            attempt.ended(Outcome.REJECTED, null, free(0));
        });
        match();
    }

    @Override
    public boolean abort(Attempt attempt) {
        for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
            Waiting next = all.next();
            if (next.attempt == attempt) {
                loop.cancel(next.end);
                all.remove();
                return true;
            }
        }
        Reservation held = reservations.get(attempt.requestId());
        if (held == null || held.attempt != attempt) {
            return true;
        }
        reservations.remove(attempt.requestId());
        loop.cancel(held.end);
        givenUp.add(attempt.requestId());
        return false;
    }

    // ---- from the worker's connections ----

    void fetch(Fetcher fetcher) {
        fetchers.add(fetcher);
        mostSlots = Math.max(mostSlots, fetchers.size() + reservations.size());
        match();
    }

    /** Danger: a client may have closed its connection, and that may not have been read yet. */
    private void match() {
        if (!waiting.isEmpty() && !fetchers.isEmpty()) {
            fetchers.peek().afterReads(this::handOut);
        }
    }

    /** Whoever asked first gets the first that waits in its queues, in the order in which it named them. */
    private void handOut() {
        for (Fetcher fetcher : List.copyOf(fetchers)) {
            for (Waiting next = firstFor(fetcher); next != null && !reserve(next, fetcher); ) {
                next = firstFor(fetcher);
            }
        }
    }

    private Waiting firstFor(Fetcher fetcher) {
        for (String queue : fetcher.queues()) {
            for (Waiting next : waiting) {
                if (next.queue.equals(queue)) {
                    return next;
                }
            }
        }
        return null;
    }

    /** The fetcher asks no more; gives whether it was still waiting. */
    boolean unfetch(Fetcher fetcher) {
        return fetchers.remove(fetcher);
    }

    void ack(String jid) {
        settle(jid, Outcome.SERVED, NOTHING);
    }

    void fail(String jid) {
        settle(jid, Outcome.ERROR, null);
    }

    private void settle(String jid, Outcome outcome, byte[] result) {
        Reservation held = reservations.remove(jid);
        if (held == null) {
            LOG.log(Level.INFO, "faktory worker {0}: late word on job {1}: {2}; nothing changes", new Object[] {
                wid, jid, outcome
            });
            givenUp.remove(jid);
            return;
        }
        loop.cancel(held.end);
        held.attempt.ended(outcome, result, free(1));
    }

    /** A connection dropped: what was handed out on it may have run. */
    void dropped(Fetcher holder) {
        unfetch(holder);
        for (String jid : List.copyOf(reservations.keySet())) {
            if (reservations.get(jid).holder == holder) {
                Reservation lost = reservations.remove(jid);
                loop.cancel(lost.end);
                givenUp.add(jid);
                boolean never = !lost.written.getAsBoolean();
                lost.attempt.ended(never ? Outcome.CONNECT_FAILED : Outcome.RESET, null, Load.NONE);
            }
        }
    }

    /** The worker has left; what waits for it was never handed out. */
    void leave() {
        gone = true;
        giveBack(Outcome.CONNECT_FAILED);
    }

    /** It gets no more, and ends what it has. */
    @Override
    public void outOfService() {
        giveBack(Outcome.NOT_SENT);
    }

    private void giveBack(Outcome outcome) {
        for (Waiting next : new ArrayList<>(waiting)) {
            loop.cancel(next.end);
            next.attempt.ended(outcome, null, Load.NONE);
        }
        waiting.clear();
    }

    /** Hands a job out; false, and it is given back, where it may no longer begin. */
    private boolean reserve(Waiting next, Fetcher fetcher) {
        waiting.remove(next);
        loop.cancel(next.end);
        if (!next.attempt.tryBegin()) {
            loop.execute(() -> next.attempt.ended(Outcome.NOT_SENT, null, free(0)));
            return false;
        }
        fetchers.remove(fetcher);
        Reservation held = new Reservation(next.attempt, fetcher);
        String jid = next.work.id();
        reservations.put(jid, held);
        mostSlots = Math.max(mostSlots, fetchers.size() + reservations.size());
        if (next.reserveFor > 0) {
            held.end = loop.at(loop.now() + next.reserveFor * 1_000_000, () -> {
                reservations.remove(jid);
                givenUp.add(jid);
                held.attempt.ended(Outcome.TIMEOUT, null, Load.NONE);
            });
        }
        held.written = fetcher.handOut(
                FaktoryJob.unit(next.work, next.queue, terms.get().jobtypeFor(next.work.jobClass())),
                next.attempt::written);
        // An event of its own: the core may be in the middle of a call.
        loop.execute(next.attempt::started);
        return true;
    }

    private Waiting waiting(Attempt attempt, JobSpec work) {
        if (FaktoryJob.MEDIA_TYPE.equals(work.contentType())) {
            try {
                FaktoryJob job = FaktoryJob.parse(new String(work.body(), StandardCharsets.UTF_8));
                return new Waiting(attempt, work, job.queue(), job.reserveFor());
            } catch (IOException e) {
                throw new UncheckedIOException("a unit that was read before", e);
            }
        }
        return new Waiting(attempt, work, terms.get().queueFor(work.jobClass()), 0);
    }

    /** Waiting FETCHes are free slots; one that just finished will ask again. */
    private Load free(int finished) {
        return new Load(fetchers.size() + finished, Double.NaN);
    }
}
