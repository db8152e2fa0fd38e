package barrowflow;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Goal;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Learned;
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
final class Ledger {
    /** Keys are counted in so many cells. */
    private static final int KEYS = 1024;
    /** What was learned of so many kinds of workers is handed on. */
    private static final int KINDS_TOLD = 16;
    /** Goods of a class: up to 1, 2, 4 and more slots wide. */
    static final int WIDTHS = 4;
    /** Service is counted over so many microseconds, and blurs by so much of it. */
    private static final double VALUE_MEMORY = 10e6;

    private static final double BLUR = 0.1;
    /** Learned figures follow the last so many jobs; none is taken to run shorter than a millisecond. */
    private static final double PACE_MEMORY = 8;

    private static final double RUN_MEMORY = 64;
    /** What reports tell of a worker's slots is followed by this part. */
    private static final double BUSY_MEMORY = 0.3;

    private static final double MIN_RUN = 1_000;

    /** The workers listed, in the order in which they were first named. */
    final List<Seller> sellers = new ArrayList<>();

    final Map<Long, Job> jobs = new HashMap<>();
    final Waits waits = new Waits();
    /** How long it takes a worker to fetch what a job is about, microseconds. */
    double fetch;

    private final Cold cold;
    private final List<Attempt> ghosts = new ArrayList<>();
    private final Map<Long, Seller> sellerById = new HashMap<>();
    /** Workers that are gone and may come back, in the order in which they went; so many at most. */
    private final Set<Long> left = new LinkedHashSet<>();

    private static final int LEFT_KEPT = 4_096;
    private final double[] kindSlots = new double[256];
    private final boolean[] slotsTold = new boolean[256];
    private final int[] keySeen = new int[KEYS];
    private int keysSeen;
    private long lastEvent = Long.MIN_VALUE;
    private long valuedAt;

    Ledger(Cold cold) {
        this.cold = cold;
    }

    /** Takes over a worker list, or changes to it. A worker that started anew is a new seller. */
    void list(boolean whole, List<Worker> entries, Function<Worker, Seller> seller) {
        if (whole) {
            Set<Long> named = new HashSet<>();
            for (Worker w : entries) {
                named.add(w.id());
            }
            sellers.removeIf(s -> !named.contains(s.worker.id()) && gone(s));
        }
        for (Worker w : entries) {
            Seller s = sellerById.get(w.id());
            if (w.state() == WorkerState.GONE) {
                if (s != null && gone(s)) {
                    sellers.remove(s);
                }
            } else if (s == null) {
                Seller fresh = seller.apply(w);
                fresh.owed = left.remove(w.id());
                sellers.add(fresh);
                sellerById.put(w.id(), fresh);
            } else {
                boolean back = s.owed || s.state == WorkerState.DRAINING && w.state() == WorkerState.READY;
                if (s.worker.startedAt() != w.startedAt()) {
                    s.state = WorkerState.GONE;
                    sellerById.put(w.id(), seller.apply(w));
                    sellers.set(sellers.indexOf(s), sellerById.get(w.id()));
                }
                sellerById.get(w.id()).state = w.state();
                sellerById.get(w.id()).owed = back;
            }
        }
    }

    private boolean gone(Seller s) {
        s.state = WorkerState.GONE;
        sellerById.remove(s.worker.id());
        left.add(s.worker.id());
        if (left.size() > LEFT_KEPT) {
            left.remove(left.iterator().next());
        }
        return true;
    }

    /** Attempts that ran on for as long as they may take no slots any more. */
    void lapse(long now) {
        ghosts.removeIf(a -> {
            a.seller.out -= now >= a.runsOnUntil ? a.job.slots : 0;
            return now >= a.runsOnUntil;
        });
    }

    /** A worker that is not gone, or null. */
    Seller seller(long worker) {
        return sellerById.get(worker);
    }

    Learned learned(Good[] goods, long now) {
        List<Double> all = new ArrayList<>();
        for (Good g : goods) {
            all.addAll(List.of(g.run, g.slots, g.requests, g.runs));
        }
        for (double slots : Arrays.copyOf(kindSlots, KINDS_TOLD)) {
            all.add(slots);
        }
        Map<Long, List<Double>> workers = new HashMap<>();
        for (Seller s : sellers) {
            List<Double> its = new ArrayList<>(List.of(
                    s.pace, s.samples, s.share, (double) s.reach, (double) s.errors, (double) s.failures, (double)
                            Math.max(0, s.barredUntil - now)));
            for (double price : s.price) {
                its.add(price);
            }
            workers.put(s.worker.id(), its);
        }
        return new Learned(all, workers);
    }

    void recall(Learned learned, Good[] goods, long now) {
        if (learned.all().size() == goods.length * 4 + KINDS_TOLD) {
            Iterator<Double> all = learned.all().iterator();
            for (Good g : goods) {
                g.run = all.next();
                g.slots = all.next();
                g.requests = all.next();
                g.runs = all.next();
            }
            for (int kind = 0; kind < KINDS_TOLD; kind++) {
                kindSlots[kind] = Math.max(kindSlots[kind], all.next());
            }
        }
        learned.workers().forEach((id, figures) -> {
            Seller s = sellerById.get(id);
            if (s != null && figures.size() == 7 + goods.length) {
                Iterator<Double> its = figures.iterator();
                s.pace = its.next();
                s.samples = its.next();
                s.share = its.next();
                s.reach = its.next().longValue();
                s.errors = its.next().intValue();
                s.failures = its.next().intValue();
                s.barredUntil = now + its.next().longValue();
                for (int good = 0; good < goods.length; good++) {
                    s.price[good] = its.next();
                }
            }
        });
    }

    /** Events come in the order of time. */
    void clock(long now) {
        if (now < lastEvent) {
            throw new IllegalArgumentException("the clock went back from " + lastEvent + " to " + now);
        }
        lastEvent = now;
    }

    /** The most slots seen in use or reported free at workers of the kind, one at least. */
    double slots(Seller s) {
        return Math.max(1, kindSlots[s.worker.kind() & 0xff]);
    }

    void slotsSeen(Seller s, double slots) {
        int kind = s.worker.kind() & 0xff;
        kindSlots[kind] = Math.max(kindSlots[kind], Math.rint(slots));
    }

    void keySeen(long key) {
        keySeen[(int) (mix(key) & KEYS - 1)]++;
        keysSeen++;
    }

    /** The part of all jobs so far that were about a key, and the few that share its cell. */
    double partOfKey(long key) {
        return (double) keySeen[(int) (mix(key) & KEYS - 1)] / Math.max(1, keysSeen);
    }

    /** The part of its capacity that a worker has at least, warming as slowly as is allowed. */
    double warmth(Seller s, long now) {
        double age = s.worker.startedAt() > 0 ? now - s.worker.startedAt() : cold.warmUp();
        return age < cold.warmUp() ? cold.from() + (1 - cold.from()) * age / cold.warmUp() : 1;
    }

    /**
     * The chance that a worker must fetch what a job is about. Every dispatcher ranks the workers for a key
     * by the same hash, so the first in that order keep it; one in demand is kept by as many as it busies.
     */
    double miss(Seller s, long key) {
        double place = (mix(mix(key) ^ s.worker.name()) >>> 11) * 0x1p-53 * sellers.size();
        return key == 0 ? 0 : Math.min(1, place / (2 + 2 * partOfKey(key) * sellers.size()));
    }

    /** What a finished job teaches of its worker's pace, its good's run time, hints and fetching. */
    void learn(Attempt a, double took) {
        Seller s = a.seller;
        Good g = a.job.good;
        s.samples++;
        fetch = Math.max(0, fetch + a.miss * (took - g.run * s.pace - fetch * a.miss) / RUN_MEMORY);
        double run = Math.max(MIN_RUN, took - fetch * a.miss);
        g.hintSeen(a.job.hint, run / (g.run * s.pace));
        run /= a.job.size;
        double learned = (run - g.run * s.pace) / Math.max(1, s.pace) / Math.min(RUN_MEMORY, ++g.runs);
        g.run = Math.max(MIN_RUN, g.run + learned);
        s.pace += (run / g.run - s.pace) / Math.min(PACE_MEMORY, s.samples + 1);
    }

    /** A job is over. What is over its tenant's share is worth little to the goal, and counts for nothing. */
    void count(Job job, Goal goal, boolean inTime) {
        double work = job.good.run * job.size * job.slots;
        double worth = job.over || job.overShare ? 0 : goal.byWork() ? work : 1;
        job.good.asked += worth;
        job.good.got += inTime ? worth : 0;
    }

    void sent(Attempt a) {
        Job job = a.job;
        Seller s = a.seller;
        job.attempts.add(a);
        job.out++;
        job.isHeld = false;
        s.owed = false;
        s.credit -= a.expected * job.slots;
        s.freeSlots -= job.slots;
        s.out += job.slots;
        s.freeMemory -= job.memory;
    }

    void began(Attempt a, long now) {
        Seller s = a.seller;
        a.startedAt = now;
        waits.seen(now - a.sentAt, true);
        s.isWell(now);
        s.running += a.job.slots;
        slotsSeen(s, s.running);
        s.reach = Math.min(s.reach, now - a.sentAt);
    }

    /**
     * An attempt has its outcome. Danger: one that was called off, or is not waited for any more, may run on:
     * taken for gone, the slots that it holds would be sold a second time.
     *
     * @param runsOnUntil when it is likely to be done, if it does
     */
    void ended(Attempt a, long now, Outcome outcome, long runsOnUntil) {
        Seller s = a.seller;
        a.ended = true;
        a.neverRan = outcome.neverRan;
        a.job.out--;
        if (a.startedAt == 0 && !outcome.neverRan) {
            waits.seen(now - a.sentAt, outcome == Outcome.SERVED);
        }
        if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            a.runsOnUntil = runsOnUntil;
            ghosts.add(a);
        } else {
            s.out -= a.job.slots;
        }
        s.running -= a.startedAt > 0 ? a.job.slots : 0;
        s.faulty += outcome == Outcome.ERROR
                ? (1 - s.faulty) / PACE_MEMORY
                : outcome == Outcome.SERVED ? -s.faulty / PACE_MEMORY : 0;
    }

    /** What a worker tells of its room; NaN where it does not. */
    void reported(Seller s, long now, double freeSlots, double freeMemory) {
        if (!Double.isNaN(freeSlots)) {
            s.freeSlots = freeSlots;
            s.freeMemory = freeMemory;
            s.reportAt = now;
            slotsSeen(s, freeSlots);
            slotsTold[s.worker.kind() & 0xff] |= freeSlots >= 1;
            s.busy += BUSY_MEMORY * (Math.max(0, slots(s) - freeSlots - s.out) - s.busy);
        }
    }

    /** What the others tell of their own jobs goes before reports, as long as any is heard. */
    void others(Gossip gossip) {
        for (Seller s : sellers) {
            s.busy = gossip.peerCount() > 0 ? gossip.slotsTakenByPeers(s.worker.name()) : s.busy;
        }
    }

    /** What the others are told of own jobs at workers. */
    byte[] message(Gossip gossip, double[] perSecond) {
        List<Seller> used = sellers.stream().filter(s -> s.out > 0).toList();
        return gossip.nextMessage(
                used.stream().mapToLong(s -> s.worker.name()).toArray(),
                used.stream().mapToDouble(s -> s.out).toArray(),
                perSecond);
    }

    /**
     * Ready workers, as many as asked for, that were not probed for the longest time; of kinds alone of which
     * no report has told slots yet, where that is asked for.
     */
    List<Seller> longestUnasked(int count, boolean untold) {
        return count < 1
                ? List.of()
                : sellers.stream()
                        .filter(s -> s.state == WorkerState.READY && !(untold && slotsTold[s.worker.kind() & 0xff]))
                        .sorted(Comparator.comparingLong(s -> s.probedAt))
                        .limit(count)
                        .toList();
    }

    /**
     * The chance that a copy saves a job's worth: it begins too late to end in time where it waits, and not
     * elsewhere, by how long others waited of late. A client's repeat counts as late a little sooner.
     */
    double saved(Attempt a, long now) {
        long latest = 2 * a.job.bestBy - a.job.arrived;
        return waits.late(now - a.sentAt, latest - a.sentAt) * (1 - waits.late(0, latest - now));
    }

    /** Slot-seconds (in microseconds) of the average job so far at average speed. */
    double meanCost(Good[] goods) {
        return mean(goods, Good::cost);
    }

    /** What the average job so far is worth, as the goal counts it. */
    double meanValue(Good[] goods) {
        return mean(goods, g -> g.value);
    }

    private static double mean(Good[] goods, ToDoubleFunction<Good> of) {
        double sum = 0;
        double requests = 0;
        for (Good g : goods) {
            sum += g.requests * of.applyAsDouble(g);
            requests += g.requests;
        }
        return sum / Math.max(1, requests);
    }

    /**
     * What a job of each good is worth by the goal: its class's worth, by work where that counts, and more
     * for the class that is served worst. Which one that is blurs within a tenth of its service.
     */
    void values(Good[] goods, Goal goal, long now) {
        double fade = Math.exp((valuedAt - now) / VALUE_MEMORY);
        valuedAt = now;
        int classes = goods.length / WIDTHS;
        double[] asked = new double[classes];
        double[] behind = new double[classes];
        double all = 0;
        double sum = 0;
        for (int c = 0; c < classes; c++) {
            double got = 0;
            for (int w = 0; w < WIDTHS; w++) {
                Good g = goods[c * WIDTHS + w];
                g.asked *= fade;
                g.got *= fade;
                asked[c] += g.asked * g.of.worth();
                got += g.got * g.of.worth();
            }
            all += asked[c];
            behind[c] = asked[c] <= 0 ? 0 : Math.exp(-got / asked[c] / BLUR);
            sum += behind[c];
        }
        double mean = goal.byWork() ? Math.max(1, meanCost(goods)) : 1;
        for (Good g : goods) {
            int c = g.index / WIDTHS;
            double worst = asked[c] <= 0 ? 0 : goal.worstClass() * behind[c] / sum * all / asked[c];
            g.value = g.of.worth() * (goal.byWork() ? g.cost() / mean : 1) * (goal.whole() + worst);
        }
    }

    /** A well-mixed hash of a number, the same in every process. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** An attempt that is still out, or null. */
    Attempt attempt(long request, int number) {
        Job job = jobs.get(request);
        if (job == null || number < 0 || number >= job.attempts.size() || job.attempts.get(number).ended) {
            return null;
        }
        return job.attempts.get(number);
    }

    /** A private class of jobs, one class of one width, with what the fleet was seen to need for it. */
    static final class Good {
        /** Hints count for little until they were seen to vary; a job is at most so many times the mean. */
        private static final double HINT_DOUBT = 0.02;

        private static final double HINT_SPAN = 4;
        final JobClass of;
        final int index;
        /** Learned run time at average speed, microseconds. */
        double run;
        /** Learned slots a job. */
        double slots = 1;

        double requests;
        double runs;
        /** A job's worth as the goal counts it, on average over the goods' jobs that of the class. */
        double value;
        /** What was asked of late, counted as worth is, and the part of it that was served in time. */
        double asked;

        double got;
        /** The mean hint, and how far runs follow hints: moments of both about their means. */
        double hint;

        double hintVariance;
        double hintRun;
        long turn;

        Good(JobClass of, int index) {
            this.of = of;
            this.index = index;
            run = of.aim();
            value = of.worth();
        }

        /** How much longer than the mean a job with this hint is likely to run; 1 where there is none. */
        double size(long hinted) {
            if (hinted <= 0 || hint <= 0) {
                return 1;
            }
            double follows = Math.max(0, Math.min(1, hintRun / (hintVariance + HINT_DOUBT)));
            return Math.max(1 / HINT_SPAN, Math.min(HINT_SPAN, 1 + follows * (hinted / hint - 1)));
        }

        /** A job was asked for. */
        void asked(double taken, long hinted) {
            slots += (taken - slots) / Math.min(RUN_MEMORY, ++requests);
            hint += hinted > 0 ? (hinted - hint) / Math.min(RUN_MEMORY, requests) : 0;
        }

        /** What a finished job teaches of hints: {@code relative} is its run over the mean one. */
        void hintSeen(long hinted, double relative) {
            if (hinted > 0 && hint > 0) {
                double memory = Math.min(RUN_MEMORY, runs + 1);
                double x = Math.max(-1, Math.min(HINT_SPAN, hinted / hint - 1));
                hintVariance += (x * x - hintVariance) / memory;
                hintRun += (x * (Math.min(HINT_SPAN, relative) - 1) - hintRun) / memory;
            }
        }

        /** How long a job of the mean run time may take for its full worth, microseconds. */
        double inTime() {
            return of.aim() + of.stretch() * run;
        }

        /** Slot-seconds (in microseconds) of a job at average speed. */
        double cost() {
            return run * slots;
        }
    }

    /** A worker as a seller in this dispatcher's market. */
    static final class Seller {
        final Worker worker;
        /** By good, over the good's value. */
        final double[] price;

        final int[] quota;
        /** This dispatcher's own order among equals. */
        final double tie;

        WorkerState state;
        /** Learned run time against the average worker's. */
        double pace = 1;

        double samples;
        /** Slots that this dispatcher may keep busy, on average. */
        double share;
        /** Unused slot-seconds (in microseconds). */
        double credit;
        /** Slots of own jobs that run. */
        double running;
        /** Slots of own jobs sent there and not ended. */
        double out;
        /** Slots that others' jobs take, by reports. */
        double busy;
        /** An own job waits there to start. */
        boolean queueing;
        /** How long the last own job waited there to start, and when that was known. */
        double waited;

        long waitedAt;
        int failures;
        /** It was put back to work and has had no job since. */
        boolean owed;
        /** Jobs that failed there of late, after their start or not; a served one halves it. */
        int errors;
        /** The part of its last jobs that failed there. */
        double faulty;

        long barredUntil;
        /** Until then a quota drawn for a cold worker stands. */
        long lapses;
        /** The shortest time that a start notice took. */
        long reach;

        double freeSlots;
        double freeMemory;
        long reportAt = Long.MIN_VALUE / 2;
        long probedAt = Long.MIN_VALUE / 2;

        Seller(Worker worker, Good[] goods, double tie, long reach) {
            this.worker = worker;
            this.tie = tie;
            this.reach = reach;
            state = worker.state();
            price = new double[goods.length];
            quota = new int[goods.length];
            for (Good g : goods) {
                price[g.index] = 1;
            }
        }

        double cost(Good g) {
            return g.cost() * pace;
        }

        /**
         * What a job of the good takes here, for budgets that must not be gone over. Danger: short jobs end
         * first, so the few that have ended make a good look cheaper, and a worker quicker, than they are.
         * Until more are known they count for little beside the class's aim and the average speed.
         */
        double surely(Good g) {
            double run = Math.max(g.run, shrunk(g.run, g.runs, g.of.aim()));
            return run * g.slots * Math.max(pace, shrunk(pace, samples, 1));
        }

        private static double shrunk(double learned, double samples, double before) {
            return (learned * samples + before * PACE_MEMORY) / (samples + PACE_MEMORY);
        }

        void isWell(long now) {
            failures = 0;
            barredUntil = errors > 0 ? barredUntil : now;
        }

        /** A price moves within a span of the good's value, and not below the floor. */
        void move(Good g, double factor, double floor, double span) {
            price[g.index] = Math.max(floor, Math.min(span, price[g.index] * Math.max(0, factor)));
        }

        /** One job of the quota is gone, or all of it where one job was all it could sell. */
        void sold(Good g, boolean all) {
            quota[g.index]--;
            if (all) {
                closeQuotas();
            }
        }

        boolean soldOut() {
            for (int left : quota) {
                if (left > 0) {
                    return false;
                }
            }
            return true;
        }

        void closeQuotas() {
            Arrays.fill(quota, 0);
        }
    }

    /** A job that a client waits for. */
    static final class Job {
        final long id;
        final long arrived;
        final Good good;
        final long key;
        final double slots;
        final double memory;
        final double worth;
        final boolean overShare;
        /** Latest time to start for the full worth, as far as is known. */
        final long bestBy;

        final long deadline;
        final Effect effect;
        final List<Attempt> attempts = new ArrayList<>(1);
        int out;
        boolean over;
        boolean isHeld;
        /** A rough guess at its work, microseconds of a standard core; 0 for none. */
        final long hint;
        /** Its likely run over the mean one of its good. */
        final double size;

        double bid;

        Job(
                long id,
                long arrived,
                Good good,
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
            this.size = size;
            this.id = id;
            this.arrived = arrived;
            this.good = good;
            this.key = key;
            this.slots = slots;
            this.memory = memory;
            this.worth = worth;
            this.overShare = overShare;
            this.bestBy = bestBy;
            this.deadline = deadline;
            Effect usual = good.of.effect();
            effect = atLeast.compareTo(usual) > 0 ? atLeast : usual;
        }

        double worthAt(long now) {
            return now <= bestBy ? worth : worth * good.of.lateShare();
        }

        /** What it is worth by the slot-second, as the goal counts it. */
        double bid(Goal goal, long now) {
            return worthAt(now) / good.of.worth() * good.value * (goal.byWork() ? 1 : 1 / size) / (slots * good.run);
        }

        /** The number of the other attempt that is still out, or -1. */
        int otherCopy(Attempt than) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i) != than && !attempts.get(i).ended) {
                    return i;
                }
            }
            return -1;
        }

        boolean wasSentTo(Seller seller) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).seller == seller) {
                    return true;
                }
            }
            return false;
        }

        /** It is held for longer than that, and would be in time, within its tenant's share. */
        boolean waitsFor(long time, long now) {
            return isHeld && !overShare && now <= bestBy && now - arrived > time;
        }

        /** The first attempt that may have run, one still out among them; null where none may. */
        Attempt mayHaveRun() {
            for (int i = 0; i < attempts.size(); i++) {
                if (!attempts.get(i).neverRan) {
                    return attempts.get(i);
                }
            }
            return null;
        }
    }

    static final class Attempt {
        final Job job;
        final Seller seller;
        final long sentAt;
        final double expected;
        final double miss;
        long startedAt;
        boolean ended;
        boolean neverRan;
        boolean queued;
        /** A connection is opened for it. */
        boolean opening;
        /** It was given up and may run on until then. */
        long runsOnUntil;

        Attempt(Job job, Seller seller, long sentAt, double expected, double miss) {
            this.job = job;
            this.seller = seller;
            this.sentAt = sentAt;
            this.expected = expected;
            this.miss = miss;
        }
    }
}
