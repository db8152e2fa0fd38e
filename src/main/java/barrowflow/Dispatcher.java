package barrowflow;

import java.util.List;
import java.util.Map;

/**
 * The interface between a host and the decision module {@link Choice}: settings and types, the events that a
 * host reports (methods of this interface) and the actions that the module asks for ({@link Actions}).
 *
 * <p>One dispatcher is single-threaded: the host calls one method at a time, and {@code Actions} methods are
 * called back within that call or the constructor, never later. Times are microseconds of one clock of the
 * host's that only goes forward; each event carries the present time. All randomness comes from the seed. Two
 * dispatchers share nothing.
 *
 * <p>A host owes: {@link #workers} soon after the start, then every change it learns; {@link #request} for
 * each job it takes; exactly one {@link #ended} for each {@code send}, a time-out at the client's limit at
 * the latest; {@link #timer} for each {@code timerAt}, at or after its time. Events on requests, attempts,
 * workers or timers no longer held are ignored. An event that goes back in time, a request id still held, an
 * unknown class and invalid settings get an IllegalArgumentException.
 */
public interface Dispatcher {

    /**
     * May a job run twice? SAFE: freely. KEYED: where its repeats are dropped. UNSAFE: never. Strictest last.
     */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which workers drop a repeat of a KEYED job: all, those of one zone, those of one cell. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    enum WorkerState {
        READY,
        DRAINING,
        GONE
    }

    /** WHOLE and CACHED name every worker, CACHED maybe of long ago; CHANGES what is new; FAILED none. */
    enum ListKind {
        WHOLE,
        CACHED,
        CHANGES,
        FAILED
    }

    /** How an attempt ended. The first SERVED goes to the client by itself. */
    enum Outcome {
        SERVED(false),
        ERROR(false),
        REJECTED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True where the outcome proves that the job never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of jobs. An answer earns {@code worth} within {@code aim + stretch * own running time}, and
     * {@code lateShare} of it after that. {@code machineKind} is the one kind that runs it, or -1 for any.
     */
    record JobClass(
            long targetTime,
            double runTimeFactor,
            long deadline,
            double value,
            double lateValueFactor,
            Effect effect,
            Group group,
            long dedupWindow,
            int machineKind) {}

    /** A tenant, and the jobs a second over all dispatchers within its share; 0 where there is no limit. */
    record Tenant(double jobsPerSecond) {}

    /**
     * A worker just started has at least {@code from} of its capacity, and all of it after {@code warmUp}.
     * Sent more than {@code fallMultiple} times what it has over a {@code fallWindow}, it falls over.
     */
    record Cold(double initialFraction, long warmUp, double overloadFactor, long overloadWindow) {}

    /**
     * What the result is made of: the weights of the whole run and of the worst-served class, and whether
     * worth counts for each unit of work ({@code byWork}) or for each job.
     */
    record Objective(double overallWeight, double worstClassWeight, boolean weightByWork) {
        /** Nothing told: the whole run counts, by the job. */
        public static final Objective DEFAULT = new Objective(1, 0, false);
    }

    /**
     * Ways to learn of workers beyond own jobs, with their prices in parts of the result: messages to other
     * dispatchers ({@code peerPrice} for one full message a job) and probes ({@code probePrice} for one a
     * job); {@code reportsByProbe} where load reports come with probes alone.
     */
    record LoadSources(boolean peers, double peerPrice, boolean probes, double probePrice, boolean reportsOnlyByProbe) {
        public static final LoadSources NONE = new LoadSources(false, 0, false, 0, false);
    }

    /**
     * All that the module is told at its start; {@code dispatchers} push to the same workers. With {@code
     * secondCopies} a job that may run twice can have two attempts out at once.
     */
    record Settings(
            int dispatchers,
            int zone,
            List<JobClass> classes,
            List<Tenant> tenants,
            double overShareValue,
            Cold coldStart,
            int maxAttempts,
            boolean mayCancel,
            long maxRetryAfter,
            boolean listOnDemand,
            boolean startNotices,
            double crossZonePrice,
            boolean hedging,
            Objective objective,
            LoadSources loadSources) {
        /** The same where neither a goal nor ways to learn are told. */
        public Settings(
                int dispatchers,
                int zone,
                List<JobClass> classes,
                List<Tenant> tenants,
                double overShareValue,
                Cold coldStart,
                int maxAttempts,
                boolean mayCancel,
                long maxRetryAfter,
                boolean listOnDemand,
                boolean startNotices,
                double crossZonePrice,
                boolean hedging) {
            this(
                    dispatchers,
                    zone,
                    classes,
                    tenants,
                    overShareValue,
                    coldStart,
                    maxAttempts,
                    mayCancel,
                    maxRetryAfter,
                    listOnDemand,
                    startNotices,
                    crossZonePrice,
                    hedging,
                    Objective.DEFAULT,
                    LoadSources.NONE);
        }

        /** The same where no second copy may be sent while the first is out. */
        public Settings(
                int dispatchers,
                int zone,
                List<JobClass> classes,
                List<Tenant> tenants,
                double overShareValue,
                Cold coldStart,
                int maxAttempts,
                boolean mayCancel,
                long maxRetryAfter,
                boolean listOnDemand,
                boolean startNotices,
                double crossZonePrice) {
            this(
                    dispatchers,
                    zone,
                    classes,
                    tenants,
                    overShareValue,
                    coldStart,
                    maxAttempts,
                    mayCancel,
                    maxRetryAfter,
                    listOnDemand,
                    startNotices,
                    crossZonePrice,
                    false);
        }

        /** The same where the host can't reach other dispatchers. */
        public Settings withoutPeers() {
            return new Settings(
                    dispatchers,
                    zone,
                    classes,
                    tenants,
                    overShareValue,
                    coldStart,
                    maxAttempts,
                    mayCancel,
                    maxRetryAfter,
                    listOnDemand,
                    startNotices,
                    crossZonePrice,
                    hedging,
                    objective,
                    new LoadSources(
                            false,
                            0,
                            loadSources.probes(),
                            loadSources.probePrice(),
                            loadSources.reportsOnlyByProbe()));
        }

        public Settings {
            if (dispatchers < 1 || maxAttempts < 1 || classes.isEmpty()) {
                throw new IllegalArgumentException("settings need a dispatcher, an attempt and a class");
            }
            for (JobClass c : classes) {
                if (c.targetTime() < 0 || c.deadline() < 0 || !(c.value() > 0)) {
                    throw new IllegalArgumentException("a class needs a time and a worth: " + c);
                }
            }
            if (!(coldStart.initialFraction() > 0 && coldStart.overloadFactor() > 0)
                    || coldStart.warmUp() < 0
                    || coldStart.overloadWindow() < 1) {
                throw new IllegalArgumentException("impossible limits for cold workers: " + coldStart);
            }
        }
    }

    /**
     * A line of the worker list; {@code startedAt} is 0 for long ago. {@code name} is the same at every
     * dispatcher, {@code id} the host's own number for it.
     */
    record Worker(long id, int kind, int zone, int cell, WorkerState state, long startedAt, long globalId) {
        /** A worker whose number is the same at every dispatcher. */
        public Worker(long id, int kind, int zone, int cell, WorkerState state, long startedAt) {
            this(id, kind, zone, cell, state, startedAt, id);
        }
    }

    /**
     * What a dispatcher has learned, for another one with the same settings that takes its place. The figures
     * mean something to the module alone; {@code workers} has them by id.
     */
    record LearnedState(List<Double> shared, Map<Long, List<Double>> byWorker) {}

    /** What the module may ask of its host; each call is an obligation to act at once. */
    interface Actions {
        /** Start the next attempt of a request (numbered 0, 1, ...), with no time-out but the client's. */
        void send(long request, long worker);

        /** Stop waiting for an attempt. */
        void cancel(long request, int attempt);

        /** Final answer: turned away, trying again is harmless, best after {@code wait}. */
        void refuse(long request, long wait);

        /** Final answer: failed, with no promise about its effect. */
        void fail(long request);

        /** Call {@link #timer} at that time. */
        void timerAt(long time);

        /** Subscribe to changes of the worker list; whatever comes of it, {@link #workers} answers. */
        void watchList();

        /** Send every other dispatcher a message of 256 bytes at most; asked for where settings allow it. */
        default void tell(byte[] message) {}

        /** Ask a worker for its load; {@link #probed} answers. Asked for where settings allow it. */
        default void probe(long worker) {}
    }

    /** The worker list, or changes to it, became known. */
    void workers(long now, ListKind kind, List<Worker> entries);

    /**
     * A client's job arrived, to be answered within {@code timeLeft}.
     *
     * @param tenant its place in the settings' list; any other number for one without a share, where there
     *     are shares
     * @param key what the job is about; 0 for nothing
     * @param slots slots that it takes of a worker
     * @param memory memory units that it takes; 0 where none are counted
     * @param atLeast what this job says of its effect; the stricter of this and its class's holds
     * @param hint a rough guess at its work, microseconds of a standard core; 0 for none
     * @param doubtful it may be one that was asked for before, whose time to be worth something is over
     */
    void request(
            long now,
            long id,
            int jobClass,
            int tenant,
            long key,
            long timeLeft,
            double slots,
            double memory,
            Effect atLeast,
            long hint,
            boolean doubtful);

    /** The same for a job that comes with no hint. */
    default void request(
            long now,
            long id,
            int jobClass,
            int tenant,
            long key,
            long timeLeft,
            double slots,
            double memory,
            Effect atLeast) {
        request(now, id, jobClass, tenant, key, timeLeft, slots, memory, atLeast, 0, false);
    }

    /** The same for a job that is like all of its class. */
    default void request(
            long now, long id, int jobClass, int tenant, long key, long timeLeft, double slots, double memory) {
        request(now, id, jobClass, tenant, key, timeLeft, slots, memory, Effect.SAFE);
    }

    /**
     * A connection has to be opened for an attempt that was just sent, so word of its start comes later than
     * on an open one. A host that does not know this leaves it out. It may be called from within {@code
     * send}.
     */
    default void opening(long request, int attempt) {}

    /** An attempt that is still out began to run. */
    void started(long now, long request, int attempt);

    /**
     * An attempt ended.
     *
     * @param over the request is over, by this outcome or before it
     * @param freeSlots what the worker reports free with its answer; NaN where it does not
     * @param freeMemory likewise
     */
    void ended(long now, long request, int attempt, Outcome outcome, boolean over, double freeSlots, double freeMemory);

    /** A message of another dispatcher, the {@code from}th; whatever it holds, no rule hangs on it. */
    default void heard(long now, int from, byte[] message) {}

    /** What came of a {@link Actions#probe}: free slots and memory, NaN where nothing was told. */
    default void probed(long now, long worker, double freeSlots, double freeMemory) {}

    /** The client has left; nothing more is owed. */
    void withdrawn(long now, long request);

    /** Whether nothing new goes to a worker at present: unknown or not ready, or failing, or behind. */
    boolean avoids(long now, long worker);

    /** What has been learned so far. */
    LearnedState learned(long now);

    /**
     * Begins with what another dispatcher has learned, also bit by bit; workers that are not known here are
     * left out, and so is everything if it is not of this module's making.
     */
    void recall(long now, LearnedState learned);

    /** A time asked for with {@link Actions#timerAt} has come. */
    void timer(long now);
}
