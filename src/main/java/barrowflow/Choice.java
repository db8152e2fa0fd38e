package barrowflow;

import barrowflow.Ledger.Attempt;
import barrowflow.Ledger.Good;
import barrowflow.Ledger.Job;
import barrowflow.Ledger.Seller;
import barrowflow.gossip.Gossip;
import barrowflow.probing.ProbeRateLimiter;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Every decision of a dispatcher; its interface, with all types, events and actions, is Dispatcher.java.
 *
 * <p>A QA-NT market runs for each worker over this dispatcher's own pushes. Each period its slot-seconds are
 * filled with a quota for each good, the dearest by the slot-second first; a request met by no quota raises
 * the good's price there, leftover lowers it; a job goes to the able worker with quota and the shortest
 * learned time to its end, and what nobody takes is held for a period. A good is a class's jobs of a width.
 */
public final class Choice implements Dispatcher {
    /** λ: a price moves by a tenth for each request unmet or job left over, within a span of the worth. */
    private static final double LAMBDA = 0.1;

    private static final double PRICE_SPAN = 16;
    /** A period is this part of the shortest aim, so that waiting one costs little of any job's time. */
    private static final int PERIODS_IN_AIM = 8;
    /** A start notice takes no longer than this many periods, until a quicker one is seen. */
    private static final int LONGEST_REACH = 4;
    /** A prompt start takes so many periods more than the quickest one seen. */
    private static final double SLACK = 1.5;
    /** A start on a connection that must be opened first takes so many times as long as the quickest one. */
    private static final double OPENING = 3;
    /** A crossing of zones counts as so many times its price in time, and is left out for a period. */
    private static final double CROSSING = 3;
    /** An unsafe job that fails counts as so many times what it may take. */
    private static final double LOST = 4;
    /** How unsure it is what others have at a worker, in slots of one. */
    private static final double UNSURE = 4;
    /** How long an own job waited at a worker counts less as time goes on, in microseconds. */
    private static final double WAIT_MEMORY = 2e6;
    /** A prompt start adds this part of the even share, a queued one takes this part of the share. */
    private static final double GROW = 0.25;

    private static final double SHRINK = 0.2;
    /** Even shares are a slot over this at least; many dispatchers trade with a part of the workers each. */
    private static final double SHARES_IN_SLOT = 4;
    /** A copy has to save this part of what its work is worth on average, as if it always ran in vain. */
    private static final double COPY_PRICE = 0.5;
    /** Standard deviations of chance kept below a cold worker's limit, and where others tell of theirs. */
    private static final double COLD_SIGMAS = 3;

    private static final double TOLD_SIGMAS = 1;
    /** A cold worker of which others tell holds so many times what it can run at the most. */
    private static final double COLD_QUEUE = 1.5;
    /** A drawn job stands for this part of the window in which a cold worker can be pushed over. */
    private static final double TOKEN = 0.25;
    /** Danger: a worker that is not there uses up the attempts of job after job; it is barred for longer. */
    private static final int GONE = 32;
    /** A bar doubles up to so often. */
    private static final int MAX_DOUBLINGS = 6;
    /** Danger: what discovery has to tell counts as told after some seconds; waits for it stay below 1 s. */
    private static final int LIST_DOUBLINGS = 1;

    private static final long LIST_BACKOFF = 250_000;

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final long period;
    private final double floor;
    private final Good[] goods;
    private final Ledger ledger;
    private final List<Seller> sellers;
    private final List<Job> held = new ArrayList<>();
    private final List<Attempt> open = new ArrayList<>();
    private final long[] longestTry;
    private final Shares shares;
    private double hold;
    private Good lastAsked;
    private double part = 1;
    private final Gossip gossip;
    private final ProbeRateLimiter probeRateLimiter;
    private long nextPeriod;
    private long askListAt = Long.MAX_VALUE;
    private int listFailures;
    private long turn;

    public Choice(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.out = actions;
        this.random = new SplittableRandom(seed);
        ledger = new Ledger(settings.cold());
        sellers = ledger.sellers;
        List<JobClass> classes = settings.classes();
        long shortest = Long.MAX_VALUE;
        goods = new Good[classes.size() * Ledger.WIDTHS];
        for (int i = 0; i < goods.length; i++) {
            goods[i] = new Good(classes.get(i / Ledger.WIDTHS), i);
            shortest = Math.min(shortest, goods[i].of.aim());
        }
        floor = Math.max(1e-3, Math.min(settings.overShareWorth(), 1 / PRICE_SPAN));
        period = Math.max(1_000, shortest / PERIODS_IN_AIM);
        longestTry = new long[classes.size()];
        shares = new Shares(settings.tenants(), settings.dispatchers());
        ledger.fetch = period;
        ledger.clock(now);
        Signs may = settings.signs();
        gossip = !may.peers() ? null : new Gossip(settings.dispatchers(), may.peerPrice(), (int) random.nextLong());
        probeRateLimiter = may.probes() && may.reportsByProbe()
                ? new ProbeRateLimiter(settings.dispatchers(), may.probePrice())
                : null;
        // Danger: dispatchers whose periods align swing together, so the seed spreads their phase.
        nextPeriod = now + 1 + random.nextLong(period);
        out.timerAt(nextPeriod);
        if (settings.listOnRequest()) {
            out.watchList();
        }
    }

    // ---- a request arrives ----

    @Override
    public void request(
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
            boolean doubtful) {
        ledger.clock(now);
        if (jobClass < 0 || jobClass >= longestTry.length || ledger.jobs.containsKey(id)) {
            throw new IllegalArgumentException("request " + id + ": unknown class or id still held");
        }
        double taken = Math.max(1, Math.max(slots, memory));
        Good good = goods[jobClass * Ledger.WIDTHS + (taken <= 1 ? 0 : taken <= 2 ? 1 : taken <= 4 ? 2 : 3)];
        lastAsked = good;
        good.asked(taken, hint);
        longestTry[jobClass] = Math.max(longestTry[jobClass], timeLeft);
        long age = timeLeft < longestTry[jobClass] ? Math.max(0, good.of.deadline() - timeLeft) : 0;
        // Danger: where nothing marks repeats, late ones would crowd out those that can be in time.
        boolean overShare = !shares.within(tenant, age < period && !doubtful) || doubtful;
        double worth = good.of.worth() * (overShare ? settings.overShareWorth() : 1);
        double size = good.size(hint);
        long bestBy = now - age + (long) (good.of.aim() + Math.max(0, good.of.stretch() - 1) * good.run * size) / 2;
        Job job = new Job(
                id, now, good, key, taken, memory, worth, overShare, bestBy, now + timeLeft, atLeast, hint, size);
        ledger.jobs.put(id, job);
        ledger.keySeen(key);
        if (overShare || now > job.bestBy || hopeless(job, now) || !offer(job, now)) {
            hold(job, now);
        }
    }

    /** Offers a job to the market: true if a worker with quota took it. */
    private boolean offer(Job job, long now) {
        Good good = job.good;
        boolean home = settings.crossZonePrice() > 0 && now - job.arrived < period;
        double most = job.worthAt(now) < good.of.worth() ? job.worthAt(now) / good.of.worth() : Double.MAX_VALUE;
        // Danger: worthless jobs fill the slots that worthy ones need; they buy only where prices are low.
        Seller best = null;
        double shortest = 0;
        for (Seller s : sellers) {
            boolean crosses = s.worker.zone() != settings.zone();
            boolean shut = crosses && home && !s.owed || told() && cold(s, now) && !hasRoom(s, job, now);
            if (shut || !able(s, job, now) || reportsFull(s, job, now) || s.price[good.index] > most) {
                continue;
            }
            if (s.quota[good.index] <= 0) {
                s.move(good, 1 + LAMBDA, floor, PRICE_SPAN);
                // Danger: shares are parts of a slot: who keeps a key seldom has quota; it sells on credit.
                boolean keeps = job.key != 0 && s.samples != 0 && ledger.miss(s, job.key) <= 0.5;
                if (!keeps || !takesJobs(s, now) || cold(s, now) || s.credit < -s.cost(good)) {
                    continue;
                }
            }
            // Danger: a worker that fails what it starts has short queues, and would draw job after job.
            // What must not run twice is lost with the first failure, however soon that comes.
            double run = (runAt(s, job) + wait(s, job, now)) * (1 + s.errors)
                    + (job.effect == Effect.UNSAFE ? LOST * s.faulty * good.inTime() : 0)
                    + (crosses ? CROSSING * settings.crossZonePrice() * good.inTime() : 0);
            if (s.owed && job.effect == Effect.SAFE) {
                run = 0;
            }
            if (best == null || run < shortest || run == shortest && s.tie < best.tie) {
                best = s;
                shortest = run;
            }
        }
        if (best != null) {
            send(job, best, now);
        }
        return best != null;
    }

    /**
     * How long a job is likely to wait there, by what reports tell of others' jobs, by own jobs out there and
     * by how long the last one waited. Danger: of many dispatchers each sees too few jobs for shares to tell
     * of a queue in time; by run time alone all would fill the quickest workers and leave the others idle.
     */
    private double wait(Seller s, Job job, long now) {
        double slots = ledger.slots(s) * ledger.warmth(s, now);
        double beyond = job.slots + s.busy + s.out - slots;
        return hold * s.pace / slots * (beyond + Math.sqrt(beyond * beyond + UNSURE * slots)) / 2
                + s.waited * Math.exp((s.waitedAt - now) / WAIT_MEMORY);
    }

    private double runAt(Seller s, Job job) {
        return job.good.run * job.size * s.pace + ledger.fetch * ledger.miss(s, job.key);
    }

    private double even(Seller s) {
        return ledger.slots(s) / settings.dispatchers() / part;
    }

    private static boolean takesJobs(Seller s, long now) {
        return s.state == WorkerState.READY && !s.queueing && now >= s.barredUntil;
    }

    @Override
    public boolean avoids(long now, long worker) {
        Seller s = ledger.seller(worker);
        return s == null || !takesJobs(s, now);
    }

    @Override
    public Learned learned(long now) {
        return ledger.learned(goods, now);
    }

    @Override
    public void recall(long now, Learned learned) {
        ledger.recall(learned, goods, now);
    }

    private boolean cold(Seller s, long now) {
        return ledger.warmth(s, now) < 1;
    }

    /** No room by its report, less what was sent since; believed for as long as a slot takes to free. */
    private boolean reportsFull(Seller s, Job job, long now) {
        return (s.freeSlots < 0.5 || s.freeMemory < job.memory)
                && now - s.reportAt < job.good.run * s.pace / ledger.slots(s);
    }

    /**
     * A cold worker may hold a little more than it can run, up to half of what would push it over with the
     * jobs that it ends meanwhile; the other half is for those not heard of yet.
     */
    private boolean hasRoom(Seller s, Job job, long now) {
        Cold cold = settings.cold();
        double more = (cold.fallMultiple() - 1) * cold.fallWindow() / 2 / (hold * s.pace);
        double most = ledger.slots(s) * ledger.warmth(s, now) * Math.min(COLD_QUEUE, more);
        return s.busy + s.out <= 0 || job.slots + s.busy + s.out <= most;
    }

    private boolean able(Seller s, Job job, long now) {
        JobClass of = job.good.of;
        boolean otherKind = of.machineKind() >= 0 && s.worker.kind() != of.machineKind();
        if (s.state != WorkerState.READY || otherKind || job.wasSentTo(s)) {
            return false;
        }
        // Danger: a repeat of a keyed job is dropped only by its group, and only for so long.
        Attempt first = job.mayHaveRun();
        boolean inWindow = first != null && now + period < first.sentAt + of.dedupWindow();
        boolean dropped = inWindow && job.effect == Effect.KEYED && sameGroup(of, s.worker, first.seller.worker);
        return job.effect == Effect.SAFE || first == null || dropped;
    }

    private static boolean sameGroup(JobClass of, Worker a, Worker b) {
        return of.group() == Group.ALL || a.zone() == b.zone() && (of.group() == Group.ZONE || a.cell() == b.cell());
    }

    private void send(Job job, Seller s, long now) {
        Attempt a = new Attempt(job, s, now, runAt(s, job), ledger.miss(s, job.key));
        open.add(a);
        s.sold(job.good, cold(s, now));
        ledger.sent(a);
        out.send(job.id, s.worker.id());
    }

    // ---- what nobody took waits a period ----

    private void hold(Job job, long now) {
        if (hopeless(job, now)) {
            giveUp(job);
        } else {
            job.isHeld = true;
            held.add(job);
        }
    }

    /** Danger: holding past the time in which the answer is worth something fills slots with late jobs. */
    private boolean hopeless(Job job, long now) {
        boolean late = now > job.bestBy && (job.overShare || job.good.of.lateShare() <= 0);
        boolean spent = job.deadline <= now + 2 * period || job.attempts.size() >= settings.maxAttempts();
        return late || spent || job.effect == Effect.UNSAFE && job.mayHaveRun() != null;
    }

    /** The final answer to a job that won't be served: refused where that is lawful, else failed. */
    private void giveUp(Job job) {
        boolean ran = job.effect != Effect.SAFE && job.mayHaveRun() != null;
        close(job, false);
        if (!ran || job.effect == Effect.KEYED && job.good.of.group() == Group.ALL) {
            out.refuse(job.id, settings.maxRetryAfter());
        } else {
            out.fail(job.id);
        }
    }

    /** The job is over; attempts still out are called off, and keep it known until they end. */
    private void close(Job job, boolean inTime) {
        boolean first = !job.over;
        ledger.count(job, settings.goal(), inTime);
        job.over = true;
        job.isHeld = false;
        for (int i = 0; i < job.attempts.size() && first && settings.mayCancel(); i++) {
            if (!job.attempts.get(i).ended) {
                out.cancel(job.id, i);
            }
        }
        if (job.out == 0) {
            ledger.jobs.remove(job.id);
        }
    }

    // ---- a period ends ----

    @Override
    public void timer(long now) {
        ledger.clock(now);
        if (now < nextPeriod) {
            return;
        }
        nextPeriod = Math.max(nextPeriod + period, now + 1);
        ledger.values(goods, settings.goal(), now);
        held.forEach(job -> job.bid = job.bid(settings.goal(), now));
        held.sort((a, b) -> Double.compare(b.bid, a.bid));
        offerHeld(now, true);
        ledger.lapse(now);
        watchAttempts(now);
        shares.refill(period, gossip);
        centrePaces(now);
        gossip(now);
        probe(now);
        sellers.forEach(s -> supply(s, now));
        offerHeld(now, false);
        held.removeIf(j -> !j.isHeld);
        if (now >= askListAt) {
            askListAt = Long.MAX_VALUE;
            out.watchList();
        }
        out.timerAt(nextPeriod);
    }

    private boolean told() {
        return gossip != null && gossip.peerCount() > 0;
    }

    /** Tells the others what is out, and counts what they have out where they were heard. */
    private void gossip(long now) {
        if (gossip != null) {
            gossip.expireSilentPeers(now);
            if (gossip.isMessageDue(now, shares.jobsPerSecond(), hold)) {
                out.tell(ledger.message(gossip, shares.perSecond()));
            }
            ledger.others(gossip);
        }
    }

    /**
     * Asks those that were not asked for longest. What others tell of their jobs says more, for less; but how
     * many slots a kind of worker has they do not tell, and who has just begun would offer one of each.
     */
    private void probe(long now) {
        int due = probeRateLimiter == null
                ? 0
                : probeRateLimiter.takeDueProbes(now, sellers.size(), shares.jobsPerSecond());
        for (Seller s : ledger.longestUnasked(due, told())) {
            s.probedAt = now;
            out.probe(s.worker.id());
        }
    }

    @Override
    public void probed(long now, long worker, double freeSlots, double freeMemory) {
        ledger.clock(now);
        Seller s = ledger.seller(worker);
        if (s != null) {
            ledger.reported(s, now, freeSlots, freeMemory);
        }
    }

    @Override
    public void heard(long now, int from, byte[] message) {
        ledger.clock(now);
        if (gossip != null) {
            gossip.receive(now, from, message);
        }
    }

    /** Jobs over their tenant's share, or late, take only what a period leaves over. */
    private void offerHeld(long now, boolean leftover) {
        for (int i = 0; i < held.size(); i++) {
            Job job = held.get(i);
            if (job.isHeld && hopeless(job, now)) {
                giveUp(job);
            } else if (job.isHeld && leftover == (job.overShare || now > job.bestBy)) {
                offer(job, now);
            }
        }
    }

    /**
     * Finds where an own job waits, and offers a copy where its class bears one; the first to start goes on.
     * Danger: where a cancel stops no work, each copy is a run for nothing, and nothing tells where. So a
     * copy has to bid by the slot-second, as jobs do, what it is likely to save.
     */
    private void watchAttempts(long now) {
        double leastBid = COPY_PRICE * ledger.meanValue(goods) / hold;
        sellers.forEach(s -> s.queueing = false);
        for (int i = 0; i < open.size(); i++) {
            Attempt a = open.get(i);
            if (a.startedAt == 0 && now - a.sentAt > patience(a)) {
                a.seller.queueing = true;
                a.seller.waited = Math.max(a.seller.waited, now - a.sentAt);
                a.seller.waitedAt = now;
                queued(a);
                boolean bears = settings.secondCopies() && a.job.out == 1 && !a.job.over && now <= a.job.bestBy;
                if (bears
                        && a.job.attempts.size() + 1 < settings.maxAttempts()
                        && ledger.saved(a, now) * a.job.bid(settings.goal(), now) > leastBid) {
                    offer(a.job, now);
                }
            }
        }
    }

    /**
     * How long a prompt start takes, or without start notices a prompt job: 1.5 learned run times. Danger: a
     * connection that must be opened first takes further ways there and back, and says nothing of a queue.
     */
    private double patience(Attempt a) {
        double further = Math.min((OPENING - 1) * a.seller.reach, LONGEST_REACH * period);
        double usual = settings.startNotices() ? SLACK * period : 1.5 * a.expected;
        return a.seller.reach + (a.opening ? further : 0) + usual;
    }

    /**
     * Average speed stays 1, as an unlearned worker is counted. Danger: shares too small for a job teach
     * nothing, so few workers are traded with; all of them if the few can't or don't take a job in a period.
     */
    private void centrePaces(long now) {
        double paces = 0;
        double slots = 0;
        for (Seller s : sellers) {
            paces += s.pace;
            slots += ledger.slots(s);
        }
        double mean = sellers.isEmpty() ? 1 : paces / sellers.size();
        part = Math.min(1, SHARES_IN_SLOT * slots / sellers.size() / settings.dispatchers());
        boolean stranded = true;
        for (Seller s : sellers) {
            s.pace /= mean;
            stranded &= s.tie > part || !takesJobs(s, now);
        }
        part = stranded || held.stream().anyMatch(j -> j.waitsFor(period, now)) ? 1 : part;
        for (Good g : goods) {
            g.run *= g.runs > 0 ? mean : 1;
        }
        hold = ledger.meanCost(goods);
    }

    /** Ends a period, in which leftover lowered the price, and opens the quotas of the next. */
    private void supply(Seller s, long now) {
        if (now < s.lapses && takesJobs(s, now) && !s.soldOut()) {
            return;
        }
        double fresh = s.share * period;
        double need = 0;
        for (Good g : goods) {
            need = g.requests > 0 ? Math.max(need, s.cost(g)) : need;
            if (s.quota[g.index] > 0) {
                s.move(g, 1 - LAMBDA * s.quota[g.index], floor, PRICE_SPAN);
            }
        }
        s.credit = (need > fresh ? s.credit : Math.min(0, s.credit)) + fresh;
        s.credit = Math.max(-need, Math.min(Math.max(fresh, need), s.credit));
        s.closeQuotas();
        boolean trades = takesJobs(s, now) && (s.owed || s.tie <= part);
        if (trades && cold(s, now)) {
            supplyCold(s, now);
        } else if (trades) {
            fill(s);
        }
        if (trades && s.owed) {
            welcome(s);
        }
    }

    /**
     * A worker that comes back, dear or cold, may be passed by for long: it gets the next safe job. Danger:
     * one from every dispatcher at once must stay far below what pushes it over.
     */
    private void welcome(Seller s) {
        Cold cold = settings.cold();
        double most = cold.from() * ledger.slots(s) * cold.fallWindow() * cold.fallMultiple() / 2;
        for (Good g : goods) {
            boolean due =
                    g.requests > 0 && g.of.effect() == Effect.SAFE && settings.dispatchers() * s.surely(g) <= most;
            s.quota[g.index] = Math.max(due ? 1 : 0, s.quota[g.index]);
        }
    }

    /**
     * A job of each good in turn, the dearest by the slot-second first, until the slot-seconds are used up:
     * what is scarce goes to the dearest, what is ample to all. If the dearest doesn't fit, its credit waits.
     */
    private void fill(Seller s) {
        boolean unlearned = s.samples == 0;
        double budget = s.credit;
        int before = -1;
        for (int sold = 0; sold > before; ) {
            before = unlearned ? Integer.MAX_VALUE : sold;
            turn++;
            for (Good g = dearest(s); g != null; g = dearest(s)) {
                g.turn = turn;
                if (unlearned || budget >= s.cost(g)) {
                    s.quota[g.index]++;
                    budget -= s.cost(g);
                    sold++;
                } else if (sold == 0) {
                    return;
                }
            }
        }
    }

    /** The dearest good, by the slot-second, that has not had its turn. */
    private Good dearest(Seller s) {
        Good best = null;
        double most = 0;
        for (Good g : goods) {
            double bySlot = s.price[g.index] * g.value / g.cost();
            if (g.requests > 0 && g.turn < turn && (best == null || bySlot > most)) {
                best = g;
                most = bySlot;
            }
        }
        return best;
    }

    /**
     * Danger: dispatchers that each save up a job for a cold worker send them together and push it over. So
     * its quota is drawn by lot, a job at a time, at a rate that keeps the sum of all under its limit, at the
     * slowest warming allowed, by some standard deviations; by fewer where the others tell what they have
     * there. A good is drawn as often as it is asked for.
     */
    private void supplyCold(Seller s, long now) {
        Cold cold = settings.cold();
        double capacity = ledger.warmth(s, now) * ledger.slots(s) * cold.fallWindow();
        Good g = lastAsked;
        double cost = g == null ? capacity : s.surely(g);
        double sigmas = told() ? TOLD_SIGMAS : COLD_SIGMAS;
        double root =
                (Math.sqrt(sigmas * sigmas * cost + 4 * cold.fallMultiple() * capacity) - sigmas * Math.sqrt(cost)) / 2;
        double jobs = Math.min(root * root / (1 + TOKEN), 2 * capacity) / cost / settings.dispatchers();
        boolean drawn = g != null && random.nextDouble() < jobs * period / cold.fallWindow();
        s.lapses = drawn ? now + (long) (TOKEN * cold.fallWindow()) : 0;
        for (Good other : goods) {
            s.quota[other.index] = drawn && other.requests > 0 && s.surely(other) <= cost ? 1 : 0;
        }
    }

    // ---- word of an attempt ----

    @Override
    public void started(long now, long request, int attempt) {
        ledger.clock(now);
        Attempt a = ledger.attempt(request, attempt);
        if (a == null || a.startedAt > 0) {
            return;
        }
        Seller s = a.seller;
        ledger.began(a, now);
        s.waited = now - a.sentAt > patience(a) ? now - a.sentAt : 0;
        s.waitedAt = now;
        judge(a, now);
        int copy = a.job.otherCopy(a);
        if (copy >= 0) {
            out.cancel(request, a.job.attempts.get(copy).startedAt > 0 ? attempt : copy);
        }
    }

    @Override
    public void opening(long request, int attempt) {
        Attempt a = ledger.attempt(request, attempt);
        if (a != null) {
            a.opening = true;
        }
    }

    /** Danger: a share that grows while it is not used lets a burst through; only one in use is tried. */
    private void judge(Attempt a, long now) {
        Seller s = a.seller;
        if (now - a.sentAt > patience(a)) {
            queued(a);
        } else if (s.running >= s.share / 2) {
            s.share = Math.min(ledger.slots(s), s.share + GROW * even(s));
        }
    }

    private void queued(Attempt a) {
        if (!a.queued) {
            a.queued = true;
            a.seller.share = Math.max(even(a.seller) / PRICE_SPAN, a.seller.share * (1 - SHRINK));
        }
    }

    @Override
    public void ended(
            long now, long request, int attempt, Outcome outcome, boolean over, double freeSlots, double freeMemory) {
        ledger.clock(now);
        Attempt a = ledger.attempt(request, attempt);
        if (a == null) {
            return;
        }
        Job job = a.job;
        Seller s = a.seller;
        open.remove(a);
        double start = a.startedAt > 0 ? a.startedAt : now + wait(s, job, now);
        ledger.ended(a, now, outcome, (long) (start + a.expected));
        ledger.reported(s, now, freeSlots, freeMemory);
        switch (outcome) {
            case SERVED -> learn(a, now);
            case REJECTED -> {
                queued(a);
                s.credit = Math.min(0, s.credit);
                bar(s, now, (long) (job.good.run * s.pace / ledger.slots(s)));
            }
            case ERROR -> {
                s.errors++;
                bar(s, now, period);
            }
            case CONNECT_FAILED -> bar(s, now, GONE * period);
            case NOT_SENT, CANCELLED -> {}
            default -> bar(s, now, period);
        }
        if (over || job.over) {
            double most = job.good.of.aim() + job.good.of.stretch() * job.good.run * job.size;
            close(job, outcome == Outcome.SERVED && now - job.arrived <= most);
        } else if (job.out == 0) {
            hold(job, now);
        }
    }

    /** What a finished job teaches of its worker's pace and its good's run time. */
    private void learn(Attempt a, long now) {
        Seller s = a.seller;
        s.errors /= 2;
        s.isWell(now);
        double run = now - (a.startedAt > 0 ? a.startedAt : a.sentAt);
        if (!settings.startNotices()) {
            judge(a, now);
        }
        // A slot entered at once is known to be free after; one at a key's far worker had better stay idle.
        boolean free = !a.queued && a.job.key == 0;
        s.credit += (free ? a.expected : Math.max(0, a.expected - run)) * a.job.slots;
        ledger.learn(a, run);
        s.credit = free && s.share < 1 ? Math.max(s.credit, s.cost(a.job.good)) : s.credit;
    }

    /** Danger: a worker that fails fast would draw jobs; each failure in a row doubles its bar. */
    private void bar(Seller s, long now, long first) {
        s.closeQuotas();
        long step = Math.max(1, first) << Math.min(MAX_DOUBLINGS, s.errors + s.failures++);
        s.barredUntil = now + step + random.nextLong(step);
    }

    @Override
    public void withdrawn(long now, long request) {
        ledger.clock(now);
        Job job = ledger.jobs.get(request);
        if (job != null && !job.over) {
            close(job, false);
        }
    }

    @Override
    public void workers(long now, ListKind kind, List<Worker> entries) {
        ledger.clock(now);
        if (kind == ListKind.FAILED) {
            long step = LIST_BACKOFF << Math.min(LIST_DOUBLINGS, listFailures++);
            askListAt = now + step + random.nextLong(step);
            return;
        }
        listFailures = 0;
        ledger.list(kind != ListKind.CHANGES, entries, w -> {
            Seller s = new Seller(w, goods, random.nextDouble(), LONGEST_REACH * period);
            s.share = even(s);
            return s;
        });
    }
}
