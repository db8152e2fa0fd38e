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

/** What {@link Choice} keeps on record. It holds figures and decides nothing. */
final class MarketState {
    /** Keys are counted in so many cells. */
    private static final int KEY_BUCKETS = 1024;
    /** What was learned of so many kinds of workers is handed on. */
    private static final int EXPORTED_KINDS = 16;
    /** Goods of a class: up to 1, 2, 4 and more slots wide. */
    static final int WIDTH_BANDS = 4;
    /** Service is counted over so many microseconds, and blurs by so much of it. */
    private static final double SERVICE_DECAY_MICROS = 10e6;

    private static final double WORST_CLASS_BLUR = 0.1;
    /** Learned figures follow the last so many jobs; none is taken to run shorter than a millisecond. */
    private static final double PACE_SAMPLES = 8;

    private static final double RUN_SAMPLES = 64;
    /** What reports tell of a worker's slots is followed by this part. */
    private static final double BUSY_SMOOTHING = 0.3;

    private static final double MIN_RUN_MICROS = 1_000;

    /** The workers listed, in the order in which they were first named. */
    final List<WorkerMarket> markets = new ArrayList<>();

    final Map<Long, PendingJob> jobs = new HashMap<>();
    final StartDelayEstimator startDelays = new StartDelayEstimator();
    /** How long it takes a worker to fetch what a job is about, microseconds. */
    double fetchMicros;

    private final Cold cold;
    private final List<JobAttempt> abandonedAttempts = new ArrayList<>();
    private final Map<Long, WorkerMarket> marketById = new HashMap<>();
    /** Workers that are gone and may come back, in the order in which they went; so many at most. */
    private final Set<Long> departedWorkers = new LinkedHashSet<>();

    private static final int MAX_DEPARTED_WORKERS = 4_096;
    private final double[] kindSlots = new double[256];
    private final boolean[] slotsReported = new boolean[256];
    private final int[] countKey = new int[KEY_BUCKETS];
    private int totalKeys;
    private long lastEventAt = Long.MIN_VALUE;
    private long valuedAt;

    MarketState(Cold cold) {
        this.cold = cold;
    }

    /** Takes over a worker list, or changes to it. A worker that started anew is a new seller. */
    void applyWorkerList(boolean whole, List<Worker> entries, Function<Worker, WorkerMarket> seller) {
        if (whole) {
            Set<Long> named = new HashSet<>();
            for (Worker w : entries) {
                named.add(w.id());
            }
            markets.removeIf(s -> !named.contains(s.worker.id()) && removeWorker(s));
        }
        for (Worker w : entries) {
            WorkerMarket s = marketById.get(w.id());
            if (w.state() == WorkerState.GONE) {
                if (s != null && removeWorker(s)) {
                    markets.remove(s);
                }
            } else if (s == null) {
                WorkerMarket fresh = seller.apply(w);
                fresh.needsTrialJob = departedWorkers.remove(w.id());
                markets.add(fresh);
                marketById.put(w.id(), fresh);
            } else {
                boolean back = s.needsTrialJob || s.state == WorkerState.DRAINING && w.state() == WorkerState.READY;
                if (s.worker.startedAt() != w.startedAt()) {
                    s.state = WorkerState.GONE;
                    marketById.put(w.id(), seller.apply(w));
                    markets.set(markets.indexOf(s), marketById.get(w.id()));
                }
                marketById.get(w.id()).state = w.state();
                marketById.get(w.id()).needsTrialJob = back;
            }
        }
    }

    private boolean removeWorker(WorkerMarket s) {
        s.state = WorkerState.GONE;
        marketById.remove(s.worker.id());
        departedWorkers.add(s.worker.id());
        if (departedWorkers.size() > MAX_DEPARTED_WORKERS) {
            departedWorkers.remove(departedWorkers.iterator().next());
        }
        return true;
    }

    /** Attempts that ran on for as long as they may take no slots any more. */
    void expireAbandonedAttempts(long now) {
        abandonedAttempts.removeIf(a -> {
            a.market.outstandingSlots -= now >= a.mayRunUntil ? a.job.slots : 0;
            return now >= a.mayRunUntil;
        });
    }

    /** A worker that is not gone, or null. */
    WorkerMarket market(long worker) {
        return marketById.get(worker);
    }

    LearnedState exportLearned(Commodity[] goods, long now) {
        List<Double> all = new ArrayList<>();
        for (Commodity g : goods) {
            all.addAll(List.of(g.runMicros, g.slotsPerJob, g.requestCount, g.runCount));
        }
        for (double slots : Arrays.copyOf(kindSlots, EXPORTED_KINDS)) {
            all.add(slots);
        }
        Map<Long, List<Double>> workers = new HashMap<>();
        for (WorkerMarket s : markets) {
            List<Double> its = new ArrayList<>(List.of(
                    s.runTimeRatio,
                    s.runSamples,
                    s.slotShare,
                    (double) s.minStartDelay,
                    (double) s.recentErrors,
                    (double) s.failuresInRow,
                    (double) Math.max(0, s.backoffUntil - now)));
            for (double price : s.price) {
                its.add(price);
            }
            workers.put(s.worker.id(), its);
        }
        return new LearnedState(all, workers);
    }

    void importLearned(LearnedState learned, Commodity[] goods, long now) {
        if (learned.shared().size() == goods.length * 4 + EXPORTED_KINDS) {
            Iterator<Double> all = learned.shared().iterator();
            for (Commodity g : goods) {
                g.runMicros = all.next();
                g.slotsPerJob = all.next();
                g.requestCount = all.next();
                g.runCount = all.next();
            }
            for (int kind = 0; kind < EXPORTED_KINDS; kind++) {
                kindSlots[kind] = Math.max(kindSlots[kind], all.next());
            }
        }
        learned.byWorker().forEach((id, figures) -> {
            WorkerMarket s = marketById.get(id);
            if (s != null && figures.size() == 7 + goods.length) {
                Iterator<Double> its = figures.iterator();
                s.runTimeRatio = its.next();
                s.runSamples = its.next();
                s.slotShare = its.next();
                s.minStartDelay = its.next().longValue();
                s.recentErrors = its.next().intValue();
                s.failuresInRow = its.next().intValue();
                s.backoffUntil = now + its.next().longValue();
                for (int good = 0; good < goods.length; good++) {
                    s.price[good] = its.next();
                }
            }
        });
    }

    /** Events come in the order of time. */
    void advanceClock(long now) {
        if (now < lastEventAt) {
            throw new IllegalArgumentException("the clock went back from " + lastEventAt + " to " + now);
        }
        lastEventAt = now;
    }

    /** The most slots seen in use or reported free at workers of the kind, one at least. */
    double slotCapacity(WorkerMarket s) {
        return Math.max(1, kindSlots[s.worker.kind() & 0xff]);
    }

    void observeSlots(WorkerMarket s, double slots) {
        int kind = s.worker.kind() & 0xff;
        kindSlots[kind] = Math.max(kindSlots[kind], Math.rint(slots));
    }

    void countKey(long key) {
        countKey[(int) (mix(key) & KEY_BUCKETS - 1)]++;
        totalKeys++;
    }

    /** The part of all jobs so far that were about a key, and the few that share its cell. */
    double keyFraction(long key) {
        return (double) countKey[(int) (mix(key) & KEY_BUCKETS - 1)] / Math.max(1, totalKeys);
    }

    /** The part of its capacity that a worker has at least, warming as slowly as is allowed. */
    double warmUpFraction(WorkerMarket s, long now) {
        double age = s.worker.startedAt() > 0 ? now - s.worker.startedAt() : cold.warmUp();
        return age < cold.warmUp() ? cold.initialFraction() + (1 - cold.initialFraction()) * age / cold.warmUp() : 1;
    }

    /**
     * The chance that a worker must fetch what a job is about. Every dispatcher ranks the workers for a key
     * by the same hash, so the first in that order keep it; one in demand is kept by as many as it busies.
     */
    double missProbability(WorkerMarket s, long key) {
        double place = (mix(mix(key) ^ s.worker.globalId()) >>> 11) * 0x1p-53 * markets.size();
        return key == 0 ? 0 : Math.min(1, place / (2 + 2 * keyFraction(key) * markets.size()));
    }

    /** What a finished job teaches of its worker's pace, its good's run time, hints and fetching. */
    void learnFromRun(JobAttempt a, double took) {
        WorkerMarket s = a.market;
        Commodity g = a.job.commodity;
        s.runSamples++;
        fetchMicros = Math.max(
                0,
                fetchMicros
                        + a.missProbability
                                * (took - g.runMicros * s.runTimeRatio - fetchMicros * a.missProbability)
                                / RUN_SAMPLES);
        double run = Math.max(MIN_RUN_MICROS, took - fetchMicros * a.missProbability);
        g.learnHint(a.job.hint, run / (g.runMicros * s.runTimeRatio));
        run /= a.job.sizeFactor;
        double learned = (run - g.runMicros * s.runTimeRatio)
                / Math.max(1, s.runTimeRatio)
                / Math.min(RUN_SAMPLES, ++g.runCount);
        g.runMicros = Math.max(MIN_RUN_MICROS, g.runMicros + learned);
        s.runTimeRatio += (run / g.runMicros - s.runTimeRatio) / Math.min(PACE_SAMPLES, s.runSamples + 1);
    }

    /** A job is over. What is over its tenant's share is worth little to the goal, and counts for nothing. */
    void recordService(PendingJob job, Objective goal, boolean inTime) {
        double work = job.commodity.runMicros * job.sizeFactor * job.slots;
        double worth = job.finished || job.overShare ? 0 : goal.weightByWork() ? work : 1;
        job.commodity.asked += worth;
        job.commodity.recentServed += inTime ? worth : 0;
    }

    void recordSent(JobAttempt a) {
        PendingJob job = a.job;
        WorkerMarket s = a.market;
        job.attempts.add(a);
        job.openAttempts++;
        job.held = false;
        s.needsTrialJob = false;
        s.credit -= a.expectedMicros * job.slots;
        s.freeSlots -= job.slots;
        s.outstandingSlots += job.slots;
        s.freeMemory -= job.memory;
    }

    void recordStarted(JobAttempt a, long now) {
        WorkerMarket s = a.market;
        a.startedAt = now;
        startDelays.observe(now - a.sentAt, true);
        s.resetFailures(now);
        s.runningSlots += a.job.slots;
        observeSlots(s, s.runningSlots);
        s.minStartDelay = Math.min(s.minStartDelay, now - a.sentAt);
    }

    /**
     * An attempt has its outcome. Danger: one that was called off, or is not waited for any more, may run on:
     * taken for gone, the slots that it holds would be sold a second time.
     *
     * @param runsOnUntil when it is likely to be done, if it does
     */
    void recordEnded(JobAttempt a, long now, Outcome outcome, long runsOnUntil) {
        WorkerMarket s = a.market;
        a.ended = true;
        a.neverRan = outcome.neverRan;
        a.job.openAttempts--;
        if (a.startedAt == 0 && !outcome.neverRan) {
            startDelays.observe(now - a.sentAt, outcome == Outcome.SERVED);
        }
        if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            a.mayRunUntil = runsOnUntil;
            abandonedAttempts.add(a);
        } else {
            s.outstandingSlots -= a.job.slots;
        }
        s.runningSlots -= a.startedAt > 0 ? a.job.slots : 0;
        s.errorRate += outcome == Outcome.ERROR
                ? (1 - s.errorRate) / PACE_SAMPLES
                : outcome == Outcome.SERVED ? -s.errorRate / PACE_SAMPLES : 0;
    }

    /** What a worker tells of its room; NaN where it does not. */
    void recordLoadReport(WorkerMarket s, long now, double freeSlots, double freeMemory) {
        if (!Double.isNaN(freeSlots)) {
            s.freeSlots = freeSlots;
            s.freeMemory = freeMemory;
            s.reportedAt = now;
            observeSlots(s, freeSlots);
            slotsReported[s.worker.kind() & 0xff] |= freeSlots >= 1;
            s.peerSlots +=
                    BUSY_SMOOTHING * (Math.max(0, slotCapacity(s) - freeSlots - s.outstandingSlots) - s.peerSlots);
        }
    }

    /** What the others tell of their own jobs goes before reports, as long as any is heard. */
    void applyPeerLoad(Gossip gossip) {
        for (WorkerMarket s : markets) {
            s.peerSlots = gossip.peerCount() > 0 ? gossip.slotsTakenByPeers(s.worker.globalId()) : s.peerSlots;
        }
    }

    /** What the others are told of own jobs at workers. */
    byte[] peerMessage(Gossip gossip, double[] perSecond) {
        List<WorkerMarket> used =
                markets.stream().filter(s -> s.outstandingSlots > 0).toList();
        return gossip.nextMessage(
                used.stream().mapToLong(s -> s.worker.globalId()).toArray(),
                used.stream().mapToDouble(s -> s.outstandingSlots).toArray(),
                perSecond);
    }

    /**
     * Ready workers, as many as asked for, that were not probed for the longest time; of kinds alone of which
     * no report has told slots yet, where that is asked for.
     */
    List<WorkerMarket> leastRecentlyProbed(int count, boolean untold) {
        return count < 1
                ? List.of()
                : markets.stream()
                        .filter(s -> s.state == WorkerState.READY && !(untold && slotsReported[s.worker.kind() & 0xff]))
                        .sorted(Comparator.comparingLong(s -> s.probedAt))
                        .limit(count)
                        .toList();
    }

    /**
     * The chance that a copy saves a job's worth: it begins too late to end in time where it waits, and not
     * elsewhere, by how long others waited of late. A client's repeat counts as late a little sooner.
     */
    double hedgeBenefit(JobAttempt a, long now) {
        long latest = 2 * a.job.latestFullValueStart - a.job.arrivedAt;
        return startDelays.probabilityNotStarted(now - a.sentAt, latest - a.sentAt)
                * (1 - startDelays.probabilityNotStarted(0, latest - now));
    }

    /** Slot-seconds (in microseconds) of the average job so far at average speed. */
    double meanCost(Commodity[] goods) {
        return mean(goods, Commodity::cost);
    }

    /** What the average job so far is worth, as the goal counts it. */
    double meanValue(Commodity[] goods) {
        return mean(goods, g -> g.weightedValue);
    }

    private static double mean(Commodity[] goods, ToDoubleFunction<Commodity> of) {
        double sum = 0;
        double requests = 0;
        for (Commodity g : goods) {
            sum += g.requestCount * of.applyAsDouble(g);
            requests += g.requestCount;
        }
        return sum / Math.max(1, requests);
    }

    /**
     * What a job of each good is worth by the goal: its class's worth, by work where that counts, and more
     * for the class that is served worst. Which one that is blurs within a tenth of its service.
     */
    void updateValues(Commodity[] goods, Objective goal, long now) {
        double fade = Math.exp((valuedAt - now) / SERVICE_DECAY_MICROS);
        valuedAt = now;
        int classes = goods.length / WIDTH_BANDS;
        double[] asked = new double[classes];
        double[] behind = new double[classes];
        double all = 0;
        double sum = 0;
        for (int c = 0; c < classes; c++) {
            double got = 0;
            for (int w = 0; w < WIDTH_BANDS; w++) {
                Commodity g = goods[c * WIDTH_BANDS + w];
                g.asked *= fade;
                g.recentServed *= fade;
                asked[c] += g.asked * g.jobClass.value();
                got += g.recentServed * g.jobClass.value();
            }
            all += asked[c];
            behind[c] = asked[c] <= 0 ? 0 : Math.exp(-got / asked[c] / WORST_CLASS_BLUR);
            sum += behind[c];
        }
        double mean = goal.weightByWork() ? Math.max(1, meanCost(goods)) : 1;
        for (Commodity g : goods) {
            int c = g.index / WIDTH_BANDS;
            double worst = asked[c] <= 0 ? 0 : goal.worstClassWeight() * behind[c] / sum * all / asked[c];
            g.weightedValue =
                    g.jobClass.value() * (goal.weightByWork() ? g.cost() / mean : 1) * (goal.overallWeight() + worst);
        }
    }

    /** A well-mixed hash of a number, the same in every process. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** An attempt that is still out, or null. */
    JobAttempt openAttempt(long request, int number) {
        PendingJob job = jobs.get(request);
        if (job == null || number < 0 || number >= job.attempts.size() || job.attempts.get(number).ended) {
            return null;
        }
        return job.attempts.get(number);
    }

    /** A private class of jobs, one class of one width, with what the fleet was seen to need for it. */
    static final class Commodity {
        /** Hints count for little until they were seen to vary; a job is at most so many times the mean. */
        private static final double HINT_VARIANCE_PRIOR = 0.02;

        private static final double MAX_SIZE_FACTOR = 4;
        final JobClass jobClass;
        final int index;
        /** Learned run time at average speed, microseconds. */
        double runMicros;
        /** Learned slots a job. */
        double slotsPerJob = 1;

        double requestCount;
        double runCount;
        /** A job's worth as the goal counts it, on average over the goods' jobs that of the class. */
        double weightedValue;
        /** What was asked of late, counted as worth is, and the part of it that was served in time. */
        double asked;

        double recentServed;
        /** The mean hint, and how far runs follow hints: moments of both about their means. */
        double meanHint;

        double hintVariance;
        double hintRunCovariance;
        long fillRound;

        Commodity(JobClass of, int index) {
            this.jobClass = of;
            this.index = index;
            runMicros = of.targetTime();
            weightedValue = of.value();
        }

        /** How much longer than the mean a job with this hint is likely to run; 1 where there is none. */
        double sizeFactor(long hinted) {
            if (hinted <= 0 || meanHint <= 0) {
                return 1;
            }
            double follows = Math.max(0, Math.min(1, hintRunCovariance / (hintVariance + HINT_VARIANCE_PRIOR)));
            return Math.max(1 / MAX_SIZE_FACTOR, Math.min(MAX_SIZE_FACTOR, 1 + follows * (hinted / meanHint - 1)));
        }

        /** A job was asked for. */
        void asked(double taken, long hinted) {
            slotsPerJob += (taken - slotsPerJob) / Math.min(RUN_SAMPLES, ++requestCount);
            meanHint += hinted > 0 ? (hinted - meanHint) / Math.min(RUN_SAMPLES, requestCount) : 0;
        }

        /** What a finished job teaches of hints: {@code relative} is its run over the mean one. */
        void learnHint(long hinted, double relative) {
            if (hinted > 0 && meanHint > 0) {
                double memory = Math.min(RUN_SAMPLES, runCount + 1);
                double x = Math.max(-1, Math.min(MAX_SIZE_FACTOR, hinted / meanHint - 1));
                hintVariance += (x * x - hintVariance) / memory;
                hintRunCovariance += (x * (Math.min(MAX_SIZE_FACTOR, relative) - 1) - hintRunCovariance) / memory;
            }
        }

        /** How long a job of the mean run time may take for its full worth, microseconds. */
        double fullValueMicros() {
            return jobClass.targetTime() + jobClass.runTimeFactor() * runMicros;
        }

        /** Slot-seconds (in microseconds) of a job at average speed. */
        double cost() {
            return runMicros * slotsPerJob;
        }
    }

    /** A worker as a seller in this dispatcher's market. */
    static final class WorkerMarket {
        final Worker worker;
        /** By good, over the good's value. */
        final double[] price;

        final int[] quota;
        /** This dispatcher's own order among equals. */
        final double tieBreak;

        WorkerState state;
        /** Learned run time against the average worker's. */
        double runTimeRatio = 1;

        double runSamples;
        /** Slots that this dispatcher may keep busy, on average. */
        double slotShare;
        /** Unused slot-seconds (in microseconds). */
        double credit;
        /** Slots of own jobs that run. */
        double runningSlots;
        /** Slots of own jobs sent there and not ended. */
        double outstandingSlots;
        /** Slots that others' jobs take, by reports. */
        double peerSlots;
        /** An own job waits there to start. */
        boolean queueing;
        /** How long the last own job waited there to start, and when that was known. */
        double lastStartDelay;

        long lastStartDelayAt;
        int failuresInRow;
        /** It was put back to work and has had no job since. */
        boolean needsTrialJob;
        /** Jobs that failed there of late, after their start or not; a served one halves it. */
        int recentErrors;
        /** The part of its last jobs that failed there. */
        double errorRate;

        long backoffUntil;
        /** Until then a quota drawn for a cold worker stands. */
        long coldQuotaUntil;
        /** The shortest time that a start notice took. */
        long minStartDelay;

        double freeSlots;
        double freeMemory;
        long reportedAt = Long.MIN_VALUE / 2;
        long probedAt = Long.MIN_VALUE / 2;

        WorkerMarket(Worker worker, Commodity[] goods, double tie, long reach) {
            this.worker = worker;
            this.tieBreak = tie;
            this.minStartDelay = reach;
            state = worker.state();
            price = new double[goods.length];
            quota = new int[goods.length];
            for (Commodity g : goods) {
                price[g.index] = 1;
            }
        }

        double cost(Commodity g) {
            return g.cost() * runTimeRatio;
        }

        /**
         * What a job of the good takes here, for budgets that must not be gone over. Danger: short jobs end
         * first, so the few that have ended make a good look cheaper, and a worker quicker, than they are.
         * Until more are known they count for little beside the class's aim and the average speed.
         */
        double conservativeCost(Commodity g) {
            double run = Math.max(g.runMicros, shrinkToPrior(g.runMicros, g.runCount, g.jobClass.targetTime()));
            return run * g.slotsPerJob * Math.max(runTimeRatio, shrinkToPrior(runTimeRatio, runSamples, 1));
        }

        private static double shrinkToPrior(double learned, double samples, double before) {
            return (learned * samples + before * PACE_SAMPLES) / (samples + PACE_SAMPLES);
        }

        void resetFailures(long now) {
            failuresInRow = 0;
            backoffUntil = recentErrors > 0 ? backoffUntil : now;
        }

        /** A price moves within a span of the good's value, and not below the floor. */
        void adjustPrice(Commodity g, double factor, double floor, double span) {
            price[g.index] = Math.max(floor, Math.min(span, price[g.index] * Math.max(0, factor)));
        }

        /** One job of the quota is gone, or all of it where one job was all it could sell. */
        void consumeQuota(Commodity g, boolean all) {
            quota[g.index]--;
            if (all) {
                clearQuotas();
            }
        }

        boolean quotaExhausted() {
            for (int left : quota) {
                if (left > 0) {
                    return false;
                }
            }
            return true;
        }

        void clearQuotas() {
            Arrays.fill(quota, 0);
        }
    }

    /** A job that a client waits for. */
    static final class PendingJob {
        final long id;
        final long arrivedAt;
        final Commodity commodity;
        final long key;
        final double slots;
        final double memory;
        final double value;
        final boolean overShare;
        /** Latest time to start for the full worth, as far as is known. */
        final long latestFullValueStart;

        final long deadline;
        final Effect effect;
        final List<JobAttempt> attempts = new ArrayList<>(1);
        int openAttempts;
        boolean finished;
        boolean held;
        /** A rough guess at its work, microseconds of a standard core; 0 for none. */
        final long hint;
        /** Its likely run over the mean one of its good. */
        final double sizeFactor;

        double bid;

        PendingJob(
                long id,
                long arrived,
                Commodity good,
                long key,
                double slots,
                double memory,
                double worth,
                boolean overShare,
                long bestBy,
                long deadline,
                Effect atLeast,
                long hint,
                double size) {
            this.hint = hint;
            this.sizeFactor = size;
            this.id = id;
            this.arrivedAt = arrived;
            this.commodity = good;
            this.key = key;
            this.slots = slots;
            this.memory = memory;
            this.value = worth;
            this.overShare = overShare;
            this.latestFullValueStart = bestBy;
            this.deadline = deadline;
            Effect usual = good.jobClass.effect();
            effect = atLeast.compareTo(usual) > 0 ? atLeast : usual;
        }

        double valueAt(long now) {
            return now <= latestFullValueStart ? value : value * commodity.jobClass.lateValueFactor();
        }

        /** What it is worth by the slot-second, as the goal counts it. */
        double bid(Objective goal, long now) {
            return valueAt(now)
                    / commodity.jobClass.value()
                    * commodity.weightedValue
                    * (goal.weightByWork() ? 1 : 1 / sizeFactor)
                    / (slots * commodity.runMicros);
        }

        /** The number of the other attempt that is still out, or -1. */
        int otherOpenAttempt(JobAttempt than) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i) != than && !attempts.get(i).ended) {
                    return i;
                }
            }
            return -1;
        }

        boolean wasSentTo(WorkerMarket seller) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).market == seller) {
                    return true;
                }
            }
            return false;
        }

        /** It is held for longer than that, and would be in time, within its tenant's share. */
        boolean heldLongerThan(long time, long now) {
            return held && !overShare && now <= latestFullValueStart && now - arrivedAt > time;
        }

        /** The first attempt that may have run, one still out among them; null where none may. */
        JobAttempt firstPossibleRun() {
            for (int i = 0; i < attempts.size(); i++) {
                if (!attempts.get(i).neverRan) {
                    return attempts.get(i);
                }
            }
            return null;
        }
    }

    static final class JobAttempt {
        final PendingJob job;
        final WorkerMarket market;
        final long sentAt;
        final double expectedMicros;
        final double missProbability;
        long startedAt;
        boolean ended;
        boolean neverRan;
        boolean queued;
        /** A connection is opened for it. */
        boolean opening;
        /** It was given up and may run on until then. */
        long mayRunUntil;

        JobAttempt(PendingJob job, WorkerMarket seller, long sentAt, double expected, double miss) {
            this.job = job;
            this.market = seller;
            this.sentAt = sentAt;
            this.expectedMicros = expected;
            this.missProbability = miss;
        }
    }
}
