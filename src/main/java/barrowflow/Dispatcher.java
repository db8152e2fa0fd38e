package barrowflow;

import java.util.List;
import java.util.Map;

/**
 * The interface between a host and the decision module {@link Choice}: settings and types, the events that a
 * host reports (the methods of this interface) and the actions that the module requests ({@link Actions}).
 *
 * <p>A dispatcher is single-threaded: the host calls one method at a time, and methods of {@code Actions} are
 * called back within that call or within the constructor, never later. Times are microseconds of a single
 * monotonic clock of the host; each event carries the current time. All randomness comes from the seed. Two
 * dispatchers share no state.
 *
 * <p>The host must call {@link #workers} soon after the start and then for every change it learns of; {@link
 * #request} for each job it accepts; {@link #ended} exactly once for each {@code send}, with a time-out at
 * the client's limit at the latest; and {@link #timer} for each {@code timerAt}, at or after its time. Events
 * on requests, attempts, workers or timers that are no longer held are ignored. An event with an earlier time
 * than the one before it, a request id that is still held, an unknown class and invalid settings cause an
 * IllegalArgumentException.
 */
public interface Dispatcher {

    /**
     * Whether a job may run more than once. SAFE: always. KEYED: only where workers deduplicate it by its
     * key. UNSAFE: never. Ordered from least to most strict; comparisons rely on this order.
     */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * The workers among which a repeated KEYED job is deduplicated: all, those of one zone, or those of one
     * cell.
     */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** READY accepts jobs, DRAINING only completes those that it has, GONE is not listed any more. */
    enum WorkerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * WHOLE and CACHED name every worker, and CACHED may be out of date; CHANGES has the changed entries
     * alone; FAILED means that no list could be obtained.
     */
    enum ListKind {
        WHOLE,
        CACHED,
        CHANGES,
        FAILED
    }

    /** How an attempt ended. The host passes the first SERVED answer on to the client by itself. */
    enum Outcome {
        SERVED(false),
        ERROR(false),
        REJECTED(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True if the outcome proves that the job did not run. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of jobs. An answer is worth {@code value} within {@code targetTime + runTimeFactor * run time
     * of the job}, and {@code value * lateValueFactor} after that. {@code machineKind} is the only kind of
     * machine that can run it, or -1 for any. Times are microseconds.
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

    /** A tenant and its share in jobs per second over all dispatchers; 0 for no limit. */
    record Tenant(double jobsPerSecond) {}

    /**
     * Limits of workers that have just started. A worker has at least {@code initialFraction} of its capacity
     * at its start and all of it after {@code warmUp}. It becomes overloaded if it receives more than {@code
     * overloadFactor} times its current capacity within {@code overloadWindow}. Times are microseconds.
     */
    record Cold(double initialFraction, long warmUp, double overloadFactor, long overloadWindow) {}

    /**
     * What the module maximizes: the weights of the overall value and of the worst-served class, and whether
     * a job's value counts per unit of work ({@code weightByWork}) or per job.
     */
    record Objective(double overallWeight, double worstClassWeight, boolean weightByWork) {
        /** The objective where none is configured: overall value, counted per job. */
        public static final Objective DEFAULT = new Objective(1, 0, false);
    }

    /**
     * Sources of load information besides this dispatcher's own jobs, with their costs as a fraction of the
     * result: messages to other dispatchers ({@code peerPrice} for one full message per job) and probes
     * ({@code probePrice} for one per job). {@code reportsOnlyByProbe} is set where workers report their load
     * in answers to probes alone.
     */
    record LoadSources(boolean peers, double peerPrice, boolean probes, double probePrice, boolean reportsOnlyByProbe) {
        public static final LoadSources NONE = new LoadSources(false, 0, false, 0, false);
    }

    /**
     * Settings of the module, given at its start. Times are microseconds.
     *
     * @param dispatchers the number of dispatchers that push to the same workers
     * @param zone this dispatcher's zone
     * @param overShareValue the value of a job over its tenant's share, relative to its normal value
     * @param maxRetryAfter the wait that a refusal advises
     * @param listOnDemand the worker list is reported only after {@link Actions#watchList}
     * @param startNotices the host reports the start of attempts by {@link #started}
     * @param crossZonePrice the price of sending a job to another zone; 0 for none
     * @param hedging a job that may run twice can have two open attempts at once
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
        /** Settings with the default objective and no load information besides own jobs. */
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

        /** Settings without hedging. */
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

        /** These settings for a host that can't reach other dispatchers. */
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
                throw new IllegalArgumentException(
                        "at least one dispatcher, one attempt and one job class are required");
            }
            for (JobClass jobClass : classes) {
                if (jobClass.targetTime() < 0 || jobClass.deadline() < 0 || !(jobClass.value() > 0)) {
                    throw new IllegalArgumentException(
                            "a job class needs times that are not negative and a value above 0: " + jobClass);
                }
            }
            if (!(coldStart.initialFraction() > 0 && coldStart.overloadFactor() > 0)
                    || coldStart.warmUp() < 0
                    || coldStart.overloadWindow() < 1) {
                throw new IllegalArgumentException("invalid cold-start limits: " + coldStart);
            }
        }
    }

    /**
     * An entry of the worker list. {@code id} is the host's own number for the worker, {@code globalId} is
     * the same at every dispatcher, and {@code startedAt} is 0 for a worker that started long ago.
     */
    record Worker(long id, int kind, int zone, int cell, WorkerState state, long startedAt, long globalId) {
        /** A worker whose id is the same at every dispatcher. */
        public Worker(long id, int kind, int zone, int cell, WorkerState state, long startedAt) {
            this(id, kind, zone, cell, state, startedAt, id);
        }
    }

    /**
     * Learned state for another dispatcher with the same settings that replaces this one. Only this module
     * interprets the figures; {@code byWorker} is keyed by worker id.
     */
    record LearnedState(List<Double> shared, Map<Long, List<Double>> byWorker) {}

    /** Actions that the module requests of its host; the host must carry out each call at once. */
    interface Actions {
        /** Starts the next attempt of a request (numbered 0, 1, ...), with no time-out but the client's. */
        void send(long request, long worker);

        /** Stops waiting for an attempt. */
        void cancel(long request, int attempt);

        /**
         * Final answer: the job was refused and can safely be retried, preferably after {@code wait}
         * microseconds.
         */
        void refuse(long request, long wait);

        /** Final answer: the job failed, and may or may not have taken effect. */
        void fail(long request);

        /** Schedules a call of {@link #timer} at the given time. */
        void timerAt(long time);

        /**
         * Subscribes to changes of the worker list. The host reports the result, a failure included, by
         * {@link #workers}.
         */
        void watchList();

        /**
         * Sends a message of at most 256 bytes to every other dispatcher; called only where the settings
         * allow it.
         */
        default void tell(byte[] message) {}

        /**
         * Asks a worker for its load, which the host reports by {@link #probed}; called only where the
         * settings allow it.
         */
        default void probe(long worker) {}
    }

    /** The host received the worker list or changes to it. */
    void workers(long now, ListKind kind, List<Worker> entries);

    /**
     * A client's job arrived, to be answered within {@code timeLeft} microseconds.
     *
     * @param tenant index into the settings' list of tenants; any other number for a job of a tenant that has
     *     no share there
     * @param key the entity that the job concerns; 0 for none
     * @param slots worker slots that the job takes
     * @param memory memory units that the job takes; 0 where memory is not counted
     * @param minEffect the effect that this job declares; the stricter of this and its class's applies
     * @param workHint an estimate of its work, microseconds of a standard core; 0 for none
     * @param possibleRepeat the job may repeat an earlier request whose time to be of value has passed
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
            Effect minEffect,
            long workHint,
            boolean possibleRepeat);

    /** A job without a work hint. */
    default void request(
            long now,
            long id,
            int jobClass,
            int tenant,
            long key,
            long timeLeft,
            double slots,
            double memory,
            Effect minEffect) {
        request(now, id, jobClass, tenant, key, timeLeft, slots, memory, minEffect, 0, false);
    }

    /** A job with no stricter effect than its class. */
    default void request(
            long now, long id, int jobClass, int tenant, long key, long timeLeft, double slots, double memory) {
        request(now, id, jobClass, tenant, key, timeLeft, slots, memory, Effect.SAFE);
    }

    /**
     * A connection has to be opened for an attempt that was just sent, so its start notice arrives later than
     * on an open connection. Hosts that can't detect this need not call it. It may be called from within
     * {@code send}.
     */
    default void opening(long request, int attempt) {}

    /** An attempt that is still open began to run. */
    void started(long now, long request, int attempt);

    /**
     * An attempt ended.
     *
     * @param requestFinished the request is finished, by this outcome or earlier
     * @param freeSlots free slots that the worker reported with its answer; NaN if it reported none
     * @param freeMemory free memory units, likewise
     */
    void ended(
            long now,
            long request,
            int attempt,
            Outcome outcome,
            boolean requestFinished,
            double freeSlots,
            double freeMemory);

    /**
     * A message arrived from the dispatcher with index {@code from}. Invalid messages must not break any
     * rule.
     */
    default void heard(long now, int from, byte[] message) {}

    /** The result of a {@link Actions#probe}: free slots and memory, NaN if none were reported. */
    default void probed(long now, long worker, double freeSlots, double freeMemory) {}

    /** The client disconnected; the request needs no answer any more. */
    void withdrawn(long now, long request);

    /**
     * Whether the module currently sends no new jobs to a worker: unknown, not ready, failing, or with a
     * queue of own jobs.
     */
    boolean avoids(long now, long worker);

    /** The state learned so far. */
    LearnedState learned(long now);

    /**
     * Imports state learned by another dispatcher, at once or in parts. Workers that are unknown here are
     * skipped, and so are figures whose number doesn't match this module's.
     */
    void recall(long now, LearnedState learned);

    /** A time requested by {@link Actions#timerAt} was reached. */
    void timer(long now);
}
