package gorserill.program;

import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.protocol.ClientFrontend;
import gorserill.protocol.IntakeMode;
import gorserill.routing.Core;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Whether the node takes jobs: its start, its draining and return as operators ask, and its end. All of it is
 * for the loop's thread.
 */
final class Lifecycle {
    private static final Logger LOG = Logger.getLogger(Lifecycle.class.getName());
    /** A node that drains takes jobs for so long: none is younger than 2 s when 4 s have passed. */
    private static final long LEAVING_JOBS = 1_900_000;
    /** After SIGTERM new connections are taken for so long: clients still come. */
    private static final long LINGER = 500_000;
    /** SIGKILL comes so long after SIGTERM at the soonest: the longest deadline, cut short, and some more. */
    private static final long LONGEST_GRACE = 3_000_000;

    private static final long GRACE_OVER_DEADLINE = 700_000;
    /** So long before that the last job is taken: most are done in less. */
    private static final long LAST_JOBS = 1_500_000;
    /** The last answers get so long to leave the machine. */
    private static final long LAST_ANSWERS = 300_000;

    private enum State {
        STARTING,
        SERVING,
        LEAVING,
        EMPTY,
        ENDING
    }

    private final Loop loop;
    private final String name;
    private final Core core;
    private final List<ClientFrontend> fronts;
    private final boolean passedSocket;
    private final Runnable stopListening;
    private final Runnable ended;
    private State state = State.STARTING;
    /** The node was told to drain before it served. */
    private boolean startsEmpty;

    private Deadline closing;
    /** By then all is answered. */
    private long lastAnswers;

    /**
     * @param passedSocket whether another process may take over the clients' socket at any time
     * @param stopListening ends all listening
     * @param ended is told once the last answer is given after {@link #shutDown}
     */
    Lifecycle(
            Loop loop,
            String name,
            Core core,
            List<ClientFrontend> fronts,
            boolean passedSocket,
            Runnable stopListening,
            Runnable ended) {
        this.loop = loop;
        this.name = name;
        this.core = core;
        this.fronts = fronts;
        this.passedSocket = passedSocket;
        this.stopListening = stopListening;
        this.ended = ended;
    }

    boolean isStarting() {
        return state == State.STARTING;
    }

    boolean isEnding() {
        return state == State.ENDING;
    }

    /** Whether this process can serve, also where it was told not to for now. */
    boolean canServe() {
        return !isStarting() && !isEnding();
    }

    /** Clients are welcome from here on, unless operators said otherwise. */
    void startServing() {
        if (!isStarting()) {
            return;
        }
        state = State.SERVING;
        if (startsEmpty) {
            evacuate();
        } else {
            fronts.forEach(front -> front.advertiseReady(true));
        }
    }

    /** Empties the node, which goes on running. */
    void evacuate() {
        startsEmpty = true;
        if (state != State.SERVING) {
            return;
        }
        LOG.log(Level.INFO, "{0} is being emptied: {1} requests open", new Object[] {name, core.openRequests()});
        state = State.LEAVING;
        fronts.forEach(front -> {
            front.advertiseReady(false);
            front.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
        });
        closing = loop.at(loop.now() + LEAVING_JOBS, () -> {
            LOG.log(Level.INFO, "{0} takes no jobs until told: {1} requests open", new Object[] {
                name, core.openRequests()
            });
            state = State.EMPTY;
            fronts.forEach(front -> {
                front.setIntakeMode(IntakeMode.CLOSED);
                front.closeIdle();
            });
        });
    }

    /** Back to work, from whichever stage of being emptied. */
    void activate() {
        startsEmpty = false;
        if (state != State.LEAVING && state != State.EMPTY) {
            return;
        }
        LOG.log(Level.INFO, "{0} is back to work", name);
        loop.cancel(closing);
        state = State.SERVING;
        fronts.forEach(front -> {
            front.setIntakeMode(IntakeMode.OPEN);
            front.advertiseReady(true);
        });
    }

    /**
     * Answers what is open, takes what still comes for a while, then ends. Danger: clients go on using the
     * connections that they have, and the next node may not be up yet: each is kept while a job on it has a
     * fair chance, and what comes now is answered before SIGKILL may.
     *
     * @param longest the longest deadline of any class
     * @param elsewhere whether new connections come to another node by now: then the next answer on each is
     *     its last. Danger: else a client may send on one just as it is closed
     */
    void shutDown(long longest, boolean elsewhere) {
        if (isEnding()) {
            return;
        }
        boolean emptied = state == State.LEAVING || state == State.EMPTY;
        LOG.log(Level.INFO, "{0} drains: {1} requests open", new Object[] {name, core.openRequests()});
        state = State.ENDING;
        loop.cancel(closing);
        long kill = loop.now() + Math.min(longest, LONGEST_GRACE) + GRACE_OVER_DEADLINE;
        lastAnswers = kill - LAST_ANSWERS;
        core.setAnswerDeadline(lastAnswers);
        if (passedSocket) {
            // What queues at the socket belongs to the next process; so do the clients after an answer.
            stopListening.run();
        } else {
            fronts.forEach(front -> front.advertiseReady(false));
            loop.at(loop.now() + LINGER, stopListening);
        }
        if (passedSocket && !emptied || elsewhere) {
            fronts.forEach(front -> front.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION));
        }
        loop.at(emptied ? loop.now() + LINGER : Math.max(loop.now() + LINGER, kill - LAST_JOBS), this::windDown);
    }

    private void windDown() {
        LOG.log(Level.INFO, "{0} takes nothing new: {1} requests open", new Object[] {name, core.openRequests()});
        fronts.forEach(front -> {
            front.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
            front.closeIdle();
            front.announceShutdown();
        });
        endWhenIdle();
    }

    /**
     * Danger: a request may still come on a connection that was busy, or have come in part; the end waits for
     * both, as long as SIGKILL lets it.
     */
    private void endWhenIdle() {
        core.whenIdle(() -> loop.at(loop.now() + LAST_ANSWERS, () -> {
            if (core.openRequests() == 0
                    && (loop.now() >= lastAnswers || fronts.stream().allMatch(ClientFrontend::hasNoClients))) {
                ended.run();
            } else {
                endWhenIdle();
            }
        }));
    }
}
