package barrowflow;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Learned;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** What {@link Choice} keeps on record. It holds figures and decides nothing. */
final class Ledger {
    /** Keys are counted in so many cells. */
    private static final int KEYS = 1024;
    /** What was learned of so many kinds of workers is handed on. */
    private static final int KINDS_TOLD = 16;

    /** The workers listed, in the order in which they were first named. */
    final List<Seller> sellers = new ArrayList<>();
    final Map<Long, Job> jobs = new HashMap<>();
    private final Map<Long, Seller> sellerById = new HashMap<>();
    /** Workers that are gone and may come back. */
    private final Set<Long> left = new HashSet<>();
    private final double[] kindSlots = new double[256];
    private final int[] keySeen = new int[KEYS];
    private int keysSeen;
    private long lastEvent = Long.MIN_VALUE;

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
        return true;
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
            List<Double> its = new ArrayList<>(List.of(s.pace, s.samples, s.share, (double) s.reach,
                (double) s.errors, (double) s.failures, (double) Math.max(0, s.barredUntil - now)));
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

    /** Slot-seconds (in microseconds) of the average job so far at average speed. */
    double meanCost(Good[] goods) {
        double cost = 0;
        double requests = 0;
        for (Good g : goods) {
            cost += g.requests * g.cost();
            requests += g.requests;
        }
        return cost / Math.max(1, requests);
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
        final JobClass of;
        final int index;
        /** Learned run time at average speed, microseconds. */
        double run;
        /** Learned slots a job. */
        double slots = 1;
        double requests;
        double runs;
        long turn;

        Good(JobClass of, int index) {
            this.of = of;
            this.index = index;
            run = of.aim();
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
        long barredUntil;
        /** Until then a quota drawn for a cold worker stands. */
        long lapses;
        /** The shortest time that a start notice took. */
        long reach;
        double freeSlots;
        double freeMemory;
        long reportAt = Long.MIN_VALUE / 2;

        Seller(Worker worker, Good[] goods, double tie, long reach) {
            this.worker = worker;
            this.tie = tie;
            this.reach = reach;
            state = worker.state();
            price = new double[goods.length];
            quota = new int[goods.length];
            for (Good g : goods) {
                price[g.index] = g.of.worth();
            }
        }

        double cost(Good g) {
            return g.cost() * pace;
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
        double bid;

        Job(long id, long arrived, Good good, long key, double slots, double memory, double worth,
            boolean overShare, long bestBy, long deadline, Effect atLeast) {
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

        Attempt(Job job, Seller seller, long sentAt, double expected, double miss) {
            this.job = job;
            this.seller = seller;
            this.sentAt = sentAt;
            this.expected = expected;
            this.miss = miss;
        }
    }
}
