package barrowflow;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.LearnedState;
import barrowflow.Dispatcher.Objective;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import barrowflow.gossip.Gossip;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * The state that {@link Choice} decides on: markets, pending jobs and learned estimates. It makes no
 * decisions.
 */
final class MarketState {
    /** Buckets in which requests are counted by key. */
    private static final int KEY_BUCKETS = 1024;
    /** Machine kinds whose slot capacity is exported to a replacement dispatcher. */
    private static final int EXPORTED_KINDS = 16;
    /** Commodities per class: jobs of up to 1, 2 and 4 slots, and wider ones. */
    static final int WIDTH_BANDS = 4;
    /** Time constant with which the service of each class decays, microseconds. */
    private static final double SERVICE_DECAY_MICROS = 10e6;
    /** Difference in service rate within which classes share the bonus of the worst-served class. */
    private static final double WORST_CLASS_BLUR = 0.1;
    /** Jobs over which the run-time ratio and error rate of a worker are averaged. */
    private static final double RATIO_SAMPLES = 8;
    /** Jobs over which run times, slots, fetch times and hints are averaged. */
    private static final double RUN_SAMPLES = 64;
    /** Smoothing factor for the slots that other dispatchers' jobs take, by load reports. */
    private static final double PEER_SLOTS_SMOOTHING = 0.3;
    /** Lower limit of a learned run time, a millisecond. */
    private static final double MIN_RUN_MICROS = 1_000;

    /** Markets of the listed workers, in the order in which the workers were first listed. */
    final List<WorkerMarket> markets = new ArrayList<>();

    final Map<Long, PendingJob> jobs = new HashMap<>();
    final StartDelayEstimator startDelays = new StartDelayEstimator();
    /** Learned time in which a worker fetches the data of a key that it has not cached, microseconds. */
    double fetchMicros;

    private final Cold cold;
    private final List<JobAttempt> abandonedAttempts = new ArrayList<>();
    private final Map<Long, WorkerMarket> marketById = new HashMap<>();
    /** Removed workers that may return, in order of removal; at most MAX_DEPARTED_WORKERS. */
    private final Set<Long> departedWorkers = new LinkedHashSet<>();
    /** Limit of the removed workers that are remembered. */
    private static final int MAX_DEPARTED_WORKERS = 4_096;
    /** Highest number of slots observed, by kind of machine. */
    private final double[] slotsByKind = new double[256];
    /** Whether a load report has shown free slots, by kind of machine. */
    private final boolean[] slotsReportedByKind = new boolean[256];

    private final int[] keyCounts = new int[KEY_BUCKETS];
    private int totalKeys;
    private long lastEventAt = Long.MIN_VALUE;
    private long valuesUpdatedAt;

    MarketState(Cold cold) {
        this.cold = cold;
    }

    /** Applies a worker list, or changes to one. A worker that has restarted gets a new market. */
    void applyWorkerList(boolean whole, List<Worker> entries, Function<Worker, WorkerMarket> newMarket) {
        if (whole) {
            Set<Long> listed = new HashSet<>();
            for (Worker worker : entries) {
                listed.add(worker.id());
            }
            markets.removeIf(market -> !listed.contains(market.worker.id()) && removeWorker(market));
        }
        for (Worker worker : entries) {
            WorkerMarket market = marketById.get(worker.id());
            if (worker.state() == WorkerState.GONE) {
                if (market != null && removeWorker(market)) {
                    markets.remove(market);
                }
            } else if (market == null) {
                WorkerMarket added = newMarket.apply(worker);
                added.needsTrialJob = departedWorkers.remove(worker.id());
                markets.add(added);
                marketById.put(worker.id(), added);
            } else {
                boolean needsTrialJob = market.needsTrialJob
                        || market.state == WorkerState.DRAINING && worker.state() == WorkerState.READY;
                if (market.worker.startedAt() != worker.startedAt()) {
                    market.state = WorkerState.GONE;
                    marketById.put(worker.id(), newMarket.apply(worker));
                    markets.set(markets.indexOf(market), marketById.get(worker.id()));
                }
                marketById.get(worker.id()).state = worker.state();
                marketById.get(worker.id()).needsTrialJob = needsTrialJob;
            }
        }
    }

    private boolean removeWorker(WorkerMarket market) {
        market.state = WorkerState.GONE;
        marketById.remove(market.worker.id());
        departedWorkers.add(market.worker.id());
        if (departedWorkers.size() > MAX_DEPARTED_WORKERS) {
            departedWorkers.remove(departedWorkers.iterator().next());
        }
        return true;
    }

    /** Releases the slots of abandoned attempts that are expected to have ended by now. */
    void expireAbandonedAttempts(long now) {
        abandonedAttempts.removeIf(a -> {
            a.market.outstandingSlots -= now >= a.mayRunUntil ? a.job.slots : 0;
            return now >= a.mayRunUntil;
        });
    }

    /** Returns the market of a listed worker, or null. */
    WorkerMarket market(long worker) {
        return marketById.get(worker);
    }

    LearnedState exportLearned(Commodity[] commodities, long now) {
        List<Double> shared = new ArrayList<>();
        for (Commodity commodity : commodities) {
            shared.addAll(
                    List.of(commodity.runMicros, commodity.slotsPerJob, commodity.requestCount, commodity.runCount));
        }
        for (double slots : Arrays.copyOf(slotsByKind, EXPORTED_KINDS)) {
            shared.add(slots);
        }
        Map<Long, List<Double>> byWorker = new HashMap<>();
        for (WorkerMarket market : markets) {
            List<Double> figures = new ArrayList<>(List.of(
                    market.runTimeRatio,
                    market.runSamples,
                    market.slotShare,
                    (double) market.minStartDelay,
                    (double) market.recentErrors,
                    (double) market.failuresInRow,
                    (double) Math.max(0, market.backoffUntil - now)));
            for (double price : market.price) {
                figures.add(price);
            }
            byWorker.put(market.worker.id(), figures);
        }
        return new LearnedState(shared, byWorker);
    }

    void importLearned(LearnedState learned, Commodity[] commodities, long now) {
        if (learned.shared().size() == commodities.length * 4 + EXPORTED_KINDS) {
            Iterator<Double> shared = learned.shared().iterator();
            for (Commodity commodity : commodities) {
                commodity.runMicros = shared.next();
                commodity.slotsPerJob = shared.next();
                commodity.requestCount = shared.next();
                commodity.runCount = shared.next();
            }
            for (int kind = 0; kind < EXPORTED_KINDS; kind++) {
                slotsByKind[kind] = Math.max(slotsByKind[kind], shared.next());
            }
        }
        learned.byWorker().forEach((id, figures) -> {
            WorkerMarket market = marketById.get(id);
            if (market != null && figures.size() == 7 + commodities.length) {
                Iterator<Double> values = figures.iterator();
                market.runTimeRatio = values.next();
                market.runSamples = values.next();
                market.slotShare = values.next();
                market.minStartDelay = values.next().longValue();
                market.recentErrors = values.next().intValue();
                market.failuresInRow = values.next().intValue();
                market.backoffUntil = now + values.next().longValue();
                for (int index = 0; index < commodities.length; index++) {
                    market.price[index] = values.next();
                }
            }
        });
    }

    /** Advances the clock to the time of an event; an event earlier than the one before it is rejected. */
    void advanceClock(long now) {
        if (now < lastEventAt) {
            throw new IllegalArgumentException("event time went back from " + lastEventAt + " to " + now);
        }
        lastEventAt = now;
    }

    /** The highest number of slots observed in use or reported free at workers of this kind, at least one. */
    double slotCapacity(WorkerMarket market) {
        return Math.max(1, slotsByKind[market.worker.kind() & 0xff]);
    }

    void observeSlots(WorkerMarket market, double slots) {
        int kind = market.worker.kind() & 0xff;
        slotsByKind[kind] = Math.max(slotsByKind[kind], Math.rint(slots));
    }

    void countKey(long key) {
        keyCounts[(int) (mix(key) & KEY_BUCKETS - 1)]++;
        totalKeys++;
    }

    /** The fraction of requests so far for this key, or for the keys that share its bucket. */
    double keyFraction(long key) {
        return (double) keyCounts[(int) (mix(key) & KEY_BUCKETS - 1)] / Math.max(1, totalKeys);
    }

    /**
     * The fraction of its capacity that a worker has at least, at the slowest warm-up that the settings
     * allow.
     */
    double warmUpFraction(WorkerMarket market, long now) {
        double age = market.worker.startedAt() > 0 ? now - market.worker.startedAt() : cold.warmUp();
        return age < cold.warmUp() ? cold.initialFraction() + (1 - cold.initialFraction()) * age / cold.warmUp() : 1;
    }

    /**
     * The probability that a worker has to fetch the data of a job's key. Every dispatcher ranks the workers
     * for a key by the same hash, so the first in that order have the key cached; a key in high demand is
     * cached by as many workers as it occupies.
     */
    double missProbability(WorkerMarket market, long key) {
        double rank = (mix(mix(key) ^ market.worker.globalId()) >>> 11) * 0x1p-53 * markets.size();
        return key == 0 ? 0 : Math.min(1, rank / (2 + 2 * keyFraction(key) * markets.size()));
    }

    /**
     * Updates the worker's run-time ratio, the commodity's run time, the hint statistics and the fetch time
     * from a completed job.
     */
    void learnFromRun(JobAttempt a, double elapsed) {
        WorkerMarket market = a.market;
        Commodity commodity = a.job.commodity;
        market.runSamples++;
        fetchMicros = Math.max(
                0,
                fetchMicros
                        + a.missProbability
                                * (elapsed
                                        - commodity.runMicros * market.runTimeRatio
                                        - fetchMicros * a.missProbability)
                                / RUN_SAMPLES);
        double runMicros = Math.max(MIN_RUN_MICROS, elapsed - fetchMicros * a.missProbability);
        commodity.learnHint(a.job.workHint, runMicros / (commodity.runMicros * market.runTimeRatio));
        runMicros /= a.job.sizeFactor;
        double learned = (runMicros - commodity.runMicros * market.runTimeRatio)
                / Math.max(1, market.runTimeRatio)
                / Math.min(RUN_SAMPLES, ++commodity.runCount);
        commodity.runMicros = Math.max(MIN_RUN_MICROS, commodity.runMicros + learned);
        market.runTimeRatio += (runMicros / commodity.runMicros - market.runTimeRatio)
                / Math.min(RATIO_SAMPLES, market.runSamples + 1);
    }

    /**
     * Counts a finished job towards the service of its class. Jobs over their tenant's share are excluded,
     * because they have little value in the objective.
     */
    void recordService(PendingJob job, Objective objective, boolean servedInTime) {
        double work = job.commodity.runMicros * job.sizeFactor * job.slots;
        double weight = job.finished || job.overShare ? 0 : objective.weightByWork() ? work : 1;
        job.commodity.recentDemand += weight;
        job.commodity.recentServed += servedInTime ? weight : 0;
    }

    void recordSent(JobAttempt a) {
        PendingJob job = a.job;
        WorkerMarket market = a.market;
        job.attempts.add(a);
        job.openAttempts++;
        job.held = false;
        market.needsTrialJob = false;
        market.credit -= a.expectedMicros * job.slots;
        market.freeSlots -= job.slots;
        market.outstandingSlots += job.slots;
        market.freeMemory -= job.memory;
    }

    void recordStarted(JobAttempt a, long now) {
        WorkerMarket market = a.market;
        a.startedAt = now;
        startDelays.observe(now - a.sentAt, true);
        market.resetFailures(now);
        market.runningSlots += a.job.slots;
        observeSlots(market, market.runningSlots);
        market.minStartDelay = Math.min(market.minStartDelay, now - a.sentAt);
    }

    /**
     * Records the outcome of an attempt. An attempt that was cancelled or timed out may still run; its slots
     * stay reserved, since they would be sold twice if they were released at once.
     *
     * @param mayRunUntil when the attempt is expected to end if it still runs
     */
    void recordEnded(JobAttempt a, long now, Outcome outcome, long mayRunUntil) {
        WorkerMarket market = a.market;
        a.ended = true;
        a.neverRan = outcome.neverRan;
        a.job.openAttempts--;
        if (a.startedAt == 0 && !outcome.neverRan) {
            startDelays.observe(now - a.sentAt, outcome == Outcome.SERVED);
        }
        if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            a.mayRunUntil = mayRunUntil;
            abandonedAttempts.add(a);
        } else {
            market.outstandingSlots -= a.job.slots;
        }
        market.runningSlots -= a.startedAt > 0 ? a.job.slots : 0;
        market.errorRate += outcome == Outcome.ERROR
                ? (1 - market.errorRate) / RATIO_SAMPLES
                : outcome == Outcome.SERVED ? -market.errorRate / RATIO_SAMPLES : 0;
    }

    /** Takes in a worker's load report; NaN where it reports nothing. */
    void recordLoadReport(WorkerMarket market, long now, double freeSlots, double freeMemory) {
        if (!Double.isNaN(freeSlots)) {
            market.freeSlots = freeSlots;
            market.freeMemory = freeMemory;
            market.reportedAt = now;
            observeSlots(market, freeSlots);
            slotsReportedByKind[market.worker.kind() & 0xff] |= freeSlots >= 1;
            market.peerSlots += PEER_SLOTS_SMOOTHING
                    * (Math.max(0, slotCapacity(market) - freeSlots - market.outstandingSlots) - market.peerSlots);
        }
    }

    /**
     * Uses the load that other dispatchers announce in place of load reports, as long as any announcement is
     * current.
     */
    void applyPeerLoad(Gossip gossip) {
        for (WorkerMarket market : markets) {
            market.peerSlots =
                    gossip.peerCount() > 0 ? gossip.slotsTakenByPeers(market.worker.globalId()) : market.peerSlots;
        }
    }

    /** The message that announces to other dispatchers the slots that own jobs hold at each worker. */
    byte[] peerMessage(Gossip gossip, double[] perSecond) {
        List<WorkerMarket> used =
                markets.stream().filter(market -> market.outstandingSlots > 0).toList();
        return gossip.nextMessage(
                used.stream().mapToLong(market -> market.worker.globalId()).toArray(),
                used.stream().mapToDouble(market -> market.outstandingSlots).toArray(),
                perSecond);
    }

    /**
     * Up to {@code count} ready workers that have not been probed for the longest time; optionally only those
     * of kinds for which no report has shown slots yet.
     */
    List<WorkerMarket> leastRecentlyProbed(int count, boolean onlyUnreportedKinds) {
        return count < 1
                ? List.of()
                : markets.stream()
                        .filter(market -> market.state == WorkerState.READY
                                && !(onlyUnreportedKinds && slotsReportedByKind[market.worker.kind() & 0xff]))
                        .sorted(Comparator.comparingLong(market -> market.probedAt))
                        .limit(count)
                        .toList();
    }

    /**
     * The probability that a second attempt preserves the job's value: the first one starts too late to end
     * in time, and the second one does not, by the observed start delays. A job that a client sent again
     * counts as late a little sooner.
     */
    double hedgeBenefit(JobAttempt a, long now) {
        long latestStart = 2 * a.job.latestFullValueStart - a.job.arrivedAt;
        return startDelays.probabilityNotStarted(now - a.sentAt, latestStart - a.sentAt)
                * (1 - startDelays.probabilityNotStarted(0, latestStart - now));
    }

    /** Mean cost of the jobs so far in slot-microseconds, at the average worker's speed. */
    double meanCost(Commodity[] commodities) {
        return mean(commodities, Commodity::cost);
    }

    /** Mean value of the jobs so far, weighted by the objective. */
    double meanValue(Commodity[] commodities) {
        return mean(commodities, commodity -> commodity.weightedValue);
    }

    private static double mean(Commodity[] commodities, ToDoubleFunction<Commodity> figure) {
        double sum = 0;
        double requests = 0;
        for (Commodity commodity : commodities) {
            sum += commodity.requestCount * figure.applyAsDouble(commodity);
            requests += commodity.requestCount;
        }
        return sum / Math.max(1, requests);
    }

    /**
     * Updates the value of each commodity by the objective: the value of its class, scaled by work where the
     * objective counts work, plus a bonus for the worst-served class. The worst-served class is a soft minimum:
     * classes whose service rates are close share the bonus.
     */
    void updateValues(Commodity[] commodities, Objective objective, long now) {
        double decay = Math.exp((valuesUpdatedAt - now) / SERVICE_DECAY_MICROS);
        valuesUpdatedAt = now;
        int classes = commodities.length / WIDTH_BANDS;
        double[] demand = new double[classes];
        double[] lag = new double[classes];
        double totalDemand = 0;
        double lagSum = 0;
        for (int classIndex = 0; classIndex < classes; classIndex++) {
            double served = 0;
            for (int width = 0; width < WIDTH_BANDS; width++) {
                Commodity commodity = commodities[classIndex * WIDTH_BANDS + width];
                commodity.recentDemand *= decay;
                commodity.recentServed *= decay;
                demand[classIndex] += commodity.recentDemand * commodity.jobClass.value();
                served += commodity.recentServed * commodity.jobClass.value();
            }
            totalDemand += demand[classIndex];
            lag[classIndex] = demand[classIndex] <= 0 ? 0 : Math.exp(-served / demand[classIndex] / WORST_CLASS_BLUR);
            lagSum += lag[classIndex];
        }
        double meanCost = objective.weightByWork() ? Math.max(1, meanCost(commodities)) : 1;
        for (Commodity commodity : commodities) {
            int classIndex = commodity.index / WIDTH_BANDS;
            double worstClassBonus = demand[classIndex] <= 0
                    ? 0
                    : objective.worstClassWeight() * lag[classIndex] / lagSum * totalDemand / demand[classIndex];
            commodity.weightedValue = commodity.jobClass.value()
                    * (objective.weightByWork() ? commodity.cost() / meanCost : 1)
                    * (objective.overallWeight() + worstClassBonus);
        }
    }

    /** A 64-bit mixing hash that gives the same result in every process. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Returns an attempt that has not ended, or null. */
    JobAttempt openAttempt(long request, int number) {
        PendingJob job = jobs.get(request);
        if (job == null || number < 0 || number >= job.attempts.size() || job.attempts.get(number).ended) {
            return null;
        }
        return job.attempts.get(number);
    }

    /**
     * What a market trades: the jobs of one class and one width, with the resources that they were observed
     * to need.
     */
    static final class Commodity {
        /**
         * Prior variance of hints: until hints are seen to vary by more, they have little influence on the
         * size of a job.
         */
        private static final double HINT_VARIANCE_PRIOR = 0.02;
        /** Highest size of a job relative to the mean one; its inverse is the lowest. */
        private static final double MAX_SIZE_FACTOR = 4;

        final JobClass jobClass;
        final int index;
        /** Learned run time at the average worker's speed, microseconds. */
        double runMicros;
        /** Learned mean number of slots per job. */
        double slotsPerJob = 1;

        double requestCount;
        double runCount;
        /** Mean value of a job as weighted by the objective; it replaces the value of the class. */
        double weightedValue;
        /** Recent demand, weighted as the objective counts value. */
        double recentDemand;
        /** The part of the recent demand that was served in time. */
        double recentServed;
        /** Mean of the hints. */
        double meanHint;
        /** Variance of the hints relative to their mean. */
        double hintVariance;
        /** Covariance of relative hints and relative run times. */
        double hintRunCovariance;
        /** The last round of filling quotas in which this commodity was considered. */
        long fillRound;

        Commodity(JobClass jobClass, int index) {
            this.jobClass = jobClass;
            this.index = index;
            runMicros = jobClass.targetTime();
            weightedValue = jobClass.value();
        }

        /** Estimated run time of a job with this hint relative to the mean one; 1 without a hint. */
        double sizeFactor(long jobHint) {
            if (jobHint <= 0 || meanHint <= 0) {
                return 1;
            }
            double hintWeight = Math.max(0, Math.min(1, hintRunCovariance / (hintVariance + HINT_VARIANCE_PRIOR)));
            return Math.max(1 / MAX_SIZE_FACTOR, Math.min(MAX_SIZE_FACTOR, 1 + hintWeight * (jobHint / meanHint - 1)));
        }

        /** Updates the mean slots and the mean hint from a new request. */
        void recordRequest(double jobSlots, long jobHint) {
            slotsPerJob += (jobSlots - slotsPerJob) / Math.min(RUN_SAMPLES, ++requestCount);
            meanHint += jobHint > 0 ? (jobHint - meanHint) / Math.min(RUN_SAMPLES, requestCount) : 0;
        }

        /**
         * Updates the hint statistics from a completed job; {@code relativeRun} is its run time over the mean
         * one.
         */
        void learnHint(long jobHint, double relativeRun) {
            if (jobHint > 0 && meanHint > 0) {
                double samples = Math.min(RUN_SAMPLES, runCount + 1);
                double deviation = Math.max(-1, Math.min(MAX_SIZE_FACTOR, jobHint / meanHint - 1));
                hintVariance += (deviation * deviation - hintVariance) / samples;
                hintRunCovariance +=
                        (deviation * (Math.min(MAX_SIZE_FACTOR, relativeRun) - 1) - hintRunCovariance) / samples;
            }
        }

        /** Time in which a job of mean run time has to be answered for its full value, microseconds. */
        double fullValueMicros() {
            return jobClass.targetTime() + jobClass.runTimeFactor() * runMicros;
        }

        /** Mean cost of a job in slot-microseconds, at the average worker's speed. */
        double cost() {
            return runMicros * slotsPerJob;
        }
    }

    /** The market of one worker: prices, quotas and credit, and what was observed of the worker. */
    static final class WorkerMarket {
        final Worker worker;
        /** Price of each commodity, relative to the commodity's value. */
        final double[] price;

        final int[] quota;
        /**
         * Random number that breaks ties between workers and selects the workers that are traded with; it
         * differs between dispatchers.
         */
        final double tieBreak;

        WorkerState state;
        /** Learned run time relative to the average worker's; above 1 is slower. */
        double runTimeRatio = 1;

        double runSamples;
        /** Slots that this dispatcher may keep busy, on average. */
        double slotShare;
        /** Slot-microseconds that remain unsold. */
        double credit;
        /** Slots of own jobs that have started. */
        double runningSlots;
        /** Slots of own jobs that were sent and have not ended. */
        double outstandingSlots;
        /** Slots of other dispatchers' jobs, by load reports or by their announcements. */
        double peerSlots;
        /** An own job is waiting there to start. */
        boolean queueing;
        /** Start delay of the latest own job, microseconds; 0 if it started promptly. */
        double lastStartDelay;
        /** When the start delay was observed. */
        long lastStartDelayAt;

        int failuresInRow;
        /** The worker came back into service and has received no job since. */
        boolean needsTrialJob;
        /** Recent jobs that failed, before or after their start; halved by each served job. */
        int recentErrors;
        /** Moving average of the fraction of jobs that failed. */
        double errorRate;

        long backoffUntil;
        /** Time until which a quota drawn for a cold worker stays valid. */
        long coldQuotaUntil;
        /** The shortest time from sending a job to its start notice, microseconds. */
        long minStartDelay;

        double freeSlots;
        double freeMemory;
        long reportedAt = Long.MIN_VALUE / 2;
        long probedAt = Long.MIN_VALUE / 2;

        WorkerMarket(Worker worker, Commodity[] commodities, double tieBreak, long minStartDelay) {
            this.worker = worker;
            this.tieBreak = tieBreak;
            this.minStartDelay = minStartDelay;
            state = worker.state();
            price = new double[commodities.length];
            quota = new int[commodities.length];
            for (Commodity commodity : commodities) {
                price[commodity.index] = 1;
            }
        }

        double cost(Commodity commodity) {
            return commodity.cost() * runTimeRatio;
        }

        /**
         * A conservative estimate of a job's cost, for budgets that must not be exceeded. Short jobs end
         * first, so the first completions make a commodity look cheaper and a worker faster than they are.
         * The estimate therefore shrinks small samples towards the class's target time and the average speed.
         */
        double conservativeCost(Commodity commodity) {
            double runMicros = Math.max(
                    commodity.runMicros,
                    shrinkToPrior(commodity.runMicros, commodity.runCount, commodity.jobClass.targetTime()));
            return runMicros
                    * commodity.slotsPerJob
                    * Math.max(runTimeRatio, shrinkToPrior(runTimeRatio, runSamples, 1));
        }

        private static double shrinkToPrior(double learned, double samples, double prior) {
            return (learned * samples + prior * RATIO_SAMPLES) / (samples + RATIO_SAMPLES);
        }

        void resetFailures(long now) {
            failuresInRow = 0;
            backoffUntil = recentErrors > 0 ? backoffUntil : now;
        }

        /** Multiplies a price by a factor, limited to the range from {@code floor} to {@code max}. */
        void adjustPrice(Commodity commodity, double factor, double floor, double max) {
            price[commodity.index] = Math.max(floor, Math.min(max, price[commodity.index] * Math.max(0, factor)));
        }

        /** Uses up one job of the quota, or clears all quotas where the worker could sell a single job only. */
        void consumeQuota(Commodity commodity, boolean clear) {
            quota[commodity.index]--;
            if (clear) {
                clearQuotas();
            }
        }

        boolean quotaExhausted() {
            for (int remaining : quota) {
                if (remaining > 0) {
                    return false;
                }
            }
            return true;
        }

        void clearQuotas() {
            Arrays.fill(quota, 0);
        }
    }

    /** A job that a client is waiting for. */
    static final class PendingJob {
        final long id;
        final long arrivedAt;
        final Commodity commodity;
        final long key;
        final double slots;
        final double memory;
        final double value;
        final boolean overShare;
        /** Estimated latest time to start for the full value. */
        final long latestFullValueStart;

        final long deadline;
        final Effect effect;
        final List<JobAttempt> attempts = new ArrayList<>(1);
        int openAttempts;
        boolean finished;
        boolean held;
        /** Estimate of its work given by the client, microseconds of a standard core; 0 for none. */
        final long workHint;
        /** Estimated run time relative to the mean one of its commodity. */
        final double sizeFactor;
        /** Value per slot-microsecond as of the current period; orders the held jobs. */
        double bid;

        PendingJob(
                long id,
                long arrivedAt,
                Commodity commodity,
                long key,
                double slots,
                double memory,
                double value,
                boolean overShare,
                long latestFullValueStart,
                long deadline,
                Effect minEffect,
                long workHint,
                double sizeFactor) {
            this.workHint = workHint;
            this.sizeFactor = sizeFactor;
            this.id = id;
            this.arrivedAt = arrivedAt;
            this.commodity = commodity;
            this.key = key;
            this.slots = slots;
            this.memory = memory;
            this.value = value;
            this.overShare = overShare;
            this.latestFullValueStart = latestFullValueStart;
            this.deadline = deadline;
            Effect classEffect = commodity.jobClass.effect();
            effect = minEffect.compareTo(classEffect) > 0 ? minEffect : classEffect;
        }

        double valueAt(long now) {
            return now <= latestFullValueStart ? value : value * commodity.jobClass.lateValueFactor();
        }

        /** Value per slot-microsecond, as weighted by the objective. */
        double bid(Objective objective, long now) {
            return valueAt(now)
                    / commodity.jobClass.value()
                    * commodity.weightedValue
                    * (objective.weightByWork() ? 1 : 1 / sizeFactor)
                    / (slots * commodity.runMicros);
        }

        /** The number of another attempt that has not ended, or -1. */
        int otherOpenAttempt(JobAttempt attempt) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i) != attempt && !attempts.get(i).ended) {
                    return i;
                }
            }
            return -1;
        }

        boolean wasSentTo(WorkerMarket market) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).market == market) {
                    return true;
                }
            }
            return false;
        }

        /**
         * The job is within its tenant's share, could still be answered in time, and arrived longer ago than
         * {@code duration}.
         */
        boolean heldLongerThan(long duration, long now) {
            return held && !overShare && now <= latestFullValueStart && now - arrivedAt > duration;
        }

        /** The first attempt that may have run, open ones included; null if none may. */
        JobAttempt firstPossibleRun() {
            for (int i = 0; i < attempts.size(); i++) {
                if (!attempts.get(i).neverRan) {
                    return attempts.get(i);
                }
            }
            return null;
        }
    }

    /** A push of a job to a worker. */
    static final class JobAttempt {
        final PendingJob job;
        final WorkerMarket market;
        final long sentAt;
        /** Expected run time, the time to fetch the data of its key included. */
        final double expectedMicros;
        /** Probability, at the time of sending, that the worker has to fetch that data. */
        final double missProbability;

        long startedAt;
        boolean ended;
        boolean neverRan;
        boolean queued;
        /** A connection has to be opened for this attempt. */
        boolean opening;
        /** Time until which an abandoned attempt may still be running. */
        long mayRunUntil;

        JobAttempt(PendingJob job, WorkerMarket market, long sentAt, double expectedMicros, double missProbability) {
            this.job = job;
            this.market = market;
            this.sentAt = sentAt;
            this.expectedMicros = expectedMicros;
            this.missProbability = missProbability;
        }
    }
}
