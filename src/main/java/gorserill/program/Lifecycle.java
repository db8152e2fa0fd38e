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
 * State machine for accepting jobs: start, evacuation and reactivation by operators, and shutdown. Must be used on
 * the loop's thread only.
 */
final class Lifecycle {
    private static final Logger LOG = Logger.getLogger(Lifecycle.class.getName());
    /** How long a node being evacuated still accepts jobs; 4 s after the call no open job is younger than 2 s. */
    private static final long EVACUATION_INTAKE_MICROS = 1_900_000;
    /** How long new connections are accepted after SIGTERM, because clients are still routed to this node. */
    private static final long ACCEPT_AFTER_TERM_MICROS = 500_000;
    /**
     * SIGKILL follows SIGTERM at the earliest after the longest class deadline, capped at this value, plus
     * {@link #GRACE_OVER_DEADLINE_MICROS}.
     */
    private static final long MAX_DEADLINE_GRACE_MICROS = 3_000_000;

    private static final long GRACE_OVER_DEADLINE_MICROS = 700_000;
    /** Jobs are accepted until this long before the earliest SIGKILL; most jobs finish in less. */
    private static final long INTAKE_END_BEFORE_KILL_MICROS = 1_500_000;
    /** Time for the last answers to leave the machine. */
    private static final long ANSWER_FLUSH_MICROS = 300_000;

    private enum State {
        STARTING,
        SERVING,
        EVACUATING,
        EVACUATED,
        SHUTTING_DOWN
    }

    private final Loop loop;
    private final String name;
    private final Core core;
    private final List<ClientFrontend> frontends;
    private final boolean passedSocket;
    private final Runnable stopListening;
    private final Runnable onShutdownComplete;
    private State state = State.STARTING;
    /** Whether operators have asked for evacuation, possibly before the node was serving. */
    private boolean evacuationRequested;

    private Deadline intakeEnd;
    /** Time by which every open request has been answered. */
    private long answerDeadlineMicros;

    /**
     * @param passedSocket whether another process may take over the client socket at any time
     * @param stopListening closes all listening sockets
     * @param onShutdownComplete runs once the last answer after {@link #shutDown} has been sent
     */
    Lifecycle(
            Loop loop,
            String name,
            Core core,
            List<ClientFrontend> frontends,
            boolean passedSocket,
            Runnable stopListening,
            Runnable onShutdownComplete) {
        this.loop = loop;
        this.name = name;
        this.core = core;
        this.frontends = frontends;
        this.passedSocket = passedSocket;
        this.stopListening = stopListening;
        this.onShutdownComplete = onShutdownComplete;
    }

    boolean isStarting() {
        return state == State.STARTING;
    }

    boolean isEnding() {
        return state == State.SHUTTING_DOWN;
    }

    /** Whether this process is able to serve, even if operators have evacuated it. */
    boolean canServe() {
        return !isStarting() && !isEnding();
    }

    /** Starts accepting jobs, unless operators have already asked for evacuation. */
    void startServing() {
        if (!isStarting()) {
            return;
        }
        state = State.SERVING;
        if (evacuationRequested) {
            evacuate();
        } else {
            frontends.forEach(frontend -> frontend.advertiseReady(true));
        }
    }

    /**
     * Stops accepting jobs after {@link #EVACUATION_INTAKE_MICROS} and then closes idle connections; the process keeps
     * running.
     */
    void evacuate() {
        evacuationRequested = true;
        if (state != State.SERVING) {
            return;
        }
        LOG.log(Level.INFO, "{0} is being emptied: {1} requests open", new Object[] {name, core.openRequests()});
        state = State.EVACUATING;
        frontends.forEach(frontend -> {
            frontend.advertiseReady(false);
            frontend.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
        });
        intakeEnd = loop.at(loop.now() + EVACUATION_INTAKE_MICROS, () -> {
            LOG.log(Level.INFO, "{0} takes no jobs until told: {1} requests open", new Object[] {
                name, core.openRequests()
            });
            state = State.EVACUATED;
            frontends.forEach(frontend -> {
                frontend.setIntakeMode(IntakeMode.CLOSED);
                frontend.closeIdle();
            });
        });
    }

    /** Accepts jobs again, from any stage of evacuation. */
    void activate() {
        evacuationRequested = false;
        if (state != State.EVACUATING && state != State.EVACUATED) {
            return;
        }
        LOG.log(Level.INFO, "{0} is back to work", name);
        loop.cancel(intakeEnd);
        state = State.SERVING;
        frontends.forEach(frontend -> {
            frontend.setIntakeMode(IntakeMode.OPEN);
            frontend.advertiseReady(true);
        });
    }

    /**
     * Answers the open requests, keeps accepting jobs for a limited time, then shuts down. Clients go on using
     * their open connections and the next node may not be up yet, so each connection is kept while a job on it
     * can still finish, and every request accepted now is answered before the earliest SIGKILL.
     *
     * @param maxDeadlineMicros the longest deadline of any class
     * @param newConnectionsGoElsewhere whether another node already receives new connections; then each
     *     connection is closed after its next answer. Otherwise a client could send a request on a connection just
     *     as it is closed
     */
    void shutDown(long maxDeadlineMicros, boolean newConnectionsGoElsewhere) {
        if (isEnding()) {
            return;
        }
        boolean wasEvacuating = state == State.EVACUATING || state == State.EVACUATED;
        LOG.log(Level.INFO, "{0} drains: {1} requests open", new Object[] {name, core.openRequests()});
        state = State.SHUTTING_DOWN;
        loop.cancel(intakeEnd);
        long earliestKill =
                loop.now() + Math.min(maxDeadlineMicros, MAX_DEADLINE_GRACE_MICROS) + GRACE_OVER_DEADLINE_MICROS;
        answerDeadlineMicros = earliestKill - ANSWER_FLUSH_MICROS;
        core.setAnswerDeadline(answerDeadlineMicros);
        if (passedSocket) {
            // Connections waiting in the backlog belong to the next process, as do clients after their next answer.
            stopListening.run();
        } else {
            frontends.forEach(frontend -> frontend.advertiseReady(false));
            loop.at(loop.now() + ACCEPT_AFTER_TERM_MICROS, stopListening);
        }
        if (passedSocket && !wasEvacuating || newConnectionsGoElsewhere) {
            frontends.forEach(frontend -> frontend.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION));
        }
        loop.at(
                wasEvacuating
                        ? loop.now() + ACCEPT_AFTER_TERM_MICROS
                        : Math.max(loop.now() + ACCEPT_AFTER_TERM_MICROS, earliestKill - INTAKE_END_BEFORE_KILL_MICROS),
                this::stopIntake);
    }

    private void stopIntake() {
        LOG.log(Level.INFO, "{0} takes nothing new: {1} requests open", new Object[] {name, core.openRequests()});
        frontends.forEach(frontend -> {
            frontend.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
            frontend.closeIdle();
            frontend.announceShutdown();
        });
        completeWhenIdle();
    }

    /**
     * Completes the shutdown once no request is open. A request may still arrive on a busy connection, or have
     * arrived in part; both are waited for until the answer deadline.
     */
    private void completeWhenIdle() {
        core.whenIdle(() -> loop.at(loop.now() + ANSWER_FLUSH_MICROS, () -> {
            if (core.openRequests() == 0
                    && (loop.now() >= answerDeadlineMicros
                            || frontends.stream().allMatch(ClientFrontend::hasNoClients))) {
                onShutdownComplete.run();
            } else {
                completeWhenIdle();
            }
        }));
    }
}
