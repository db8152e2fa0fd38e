package barrowflow;

import barrowflow.MarketState.Commodity;
import barrowflow.MarketState.JobAttempt;
import barrowflow.MarketState.PendingJob;
import barrowflow.MarketState.WorkerMarket;
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
    private static final double PRICE_STEP = 0.1;

    private static final double PRICE_SPAN = 16;
    /** A period is this part of the shortest aim, so that waiting one costs little of any job's time. */
    private static final int PERIODS_PER_TARGET = 8;
    /** A start notice takes no longer than this many periods, until a quicker one is seen. */
    private static final int MAX_START_DELAY_PERIODS = 4;
    /** A prompt start takes so many periods more than the quickest one seen. */
    private static final double START_SLACK_PERIODS = 1.5;
    /** A start on a connection that must be opened first takes so many times as long as the quickest one. */
    private static final double CONNECT_DELAY_FACTOR = 3;
    /** A crossing of zones counts as so many times its price in time, and is left out for a period. */
    private static final double ZONE_CROSSING_FACTOR = 3;
    /** An unsafe job that fails counts as so many times what it may take. */
    private static final double UNSAFE_FAILURE_FACTOR = 4;
    /** How unsure it is what others have at a worker, in slots of one. */
    private static final double QUEUE_UNCERTAINTY_SLOTS = 4;
    /** How long an own job waited at a worker counts less as time goes on, in microseconds. */
    private static final double START_DELAY_DECAY_MICROS = 2e6;
    /** A prompt start adds this part of the even share, a queued one takes this part of the share. */
    private static final double SHARE_GROWTH = 0.25;

    private static final double SHARE_DECREASE = 0.2;
    /** Even shares are a slot over this at least; many dispatchers trade with a part of the workers each. */
    private static final double MAX_SHARES_PER_SLOT = 4;
    /** A copy has to save this part of what its work is worth on average, as if it always ran in vain. */
    private static final double HEDGE_PRICE = 0.5;
    /** Standard deviations of chance kept below a cold worker's limit, and where others tell of theirs. */
    private static final double COLD_SIGMAS = 3;

    private static final double COLD_SIGMAS_WITH_PEERS = 1;
    /** A cold worker of which others tell holds so many times what it can run at the most. */
    private static final double COLD_OVERCOMMIT = 1.5;
    /** A drawn job stands for this part of the window in which a cold worker can be pushed over. */
    private static final double COLD_QUOTA_WINDOW_FRACTION = 0.25;
    /** Danger: a worker that is not there uses up the attempts of job after job; it is barred for longer. */
    private static final int CONNECT_FAILURE_PERIODS = 32;
    /** A bar doubles up to so often. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    /** Danger: what discovery has to tell counts as told after some seconds; waits for it stay below 1 s. */
    private static final int MAX_LIST_BACKOFF_DOUBLINGS = 1;

    private static final long LIST_BACKOFF_MICROS = 250_000;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long period;
    private final double priceFloor;
    private final Commodity[] commodities;
    private final MarketState state;
    private final List<WorkerMarket> markets;
    private final List<PendingJob> held = new ArrayList<>();
    private final List<JobAttempt> openAttempts = new ArrayList<>();
    private final long[] longestTimeLimit;
    private final TenantShares tenantShares;
    private double hold;
    private Commodity lastRequested;
    private double tradedFraction = 1;
    private final Gossip gossip;
    private final ProbeRateLimiter probeRateLimiter;
    private long nextPeriodAt;
    private long retryListAt = Long.MAX_VALUE;
    private int listFailures;
    private long fillRound;

    public Choice(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        state = new MarketState(settings.coldStart());
        markets = state.markets;
        List<JobClass> classes = settings.classes();
        long shortest = Long.MAX_VALUE;
        commodities = new Commodity[classes.size() * MarketState.WIDTH_BANDS];
        for (int i = 0; i < commodities.length; i++) {
            commodities[i] = new Commodity(classes.get(i / MarketState.WIDTH_BANDS), i);
            shortest = Math.min(shortest, commodities[i].jobClass.targetTime());
        }
        priceFloor = Math.max(1e-3, Math.min(settings.overShareValue(), 1 / PRICE_SPAN));
        period = Math.max(1_000, shortest / PERIODS_PER_TARGET);
        longestTimeLimit = new long[classes.size()];
        tenantShares = new TenantShares(settings.tenants(), settings.dispatchers());
        state.fetchMicros = period;
        state.advanceClock(now);
        LoadSources may = settings.loadSources();
        gossip = !may.peers() ? null : new Gossip(settings.dispatchers(), may.peerPrice(), (int) random.nextLong());
        probeRateLimiter = may.probes() && may.reportsOnlyByProbe()
                ? new ProbeRateLimiter(settings.dispatchers(), may.probePrice())
                : null;
        // Danger: dispatchers whose periods align swing together, so the seed spreads their phase.
        nextPeriodAt = now + 1 + random.nextLong(period);
        actions.timerAt(nextPeriodAt);
        if (settings.listOnDemand()) {
            actions.watchList();
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
        state.advanceClock(now);
        if (jobClass < 0 || jobClass >= longestTimeLimit.length || state.jobs.containsKey(id)) {
            throw new IllegalArgumentException("request " + id + ": unknown class or id still held");
        }
        double taken = Math.max(1, Math.max(slots, memory));
        Commodity good = commodities[
                jobClass * MarketState.WIDTH_BANDS + (taken <= 1 ? 0 : taken <= 2 ? 1 : taken <= 4 ? 2 : 3)];
        lastRequested = good;
        good.asked(taken, hint);
        longestTimeLimit[jobClass] = Math.max(longestTimeLimit[jobClass], timeLeft);
        long age = timeLeft < longestTimeLimit[jobClass] ? Math.max(0, good.jobClass.deadline() - timeLeft) : 0;
        // Danger: where nothing marks repeats, late ones would crowd out those that can be in time.
        boolean overShare = !tenantShares.tryAcquire(tenant, age < period && !doubtful) || doubtful;
        double worth = good.jobClass.value() * (overShare ? settings.overShareValue() : 1);
        double size = good.sizeFactor(hint);
        long bestBy = now
                - age
                + (long) (good.jobClass.targetTime()
                                + Math.max(0, good.jobClass.runTimeFactor() - 1) * good.runMicros * size)
                        / 2;
        PendingJob job = new PendingJob(
                id, now, good, key, taken, memory, worth, overShare, bestBy, now + timeLeft, atLeast, hint, size);
        state.jobs.put(id, job);
        state.countKey(key);
        if (overShare || now > job.latestFullValueStart || unservable(job, now) || !offer(job, now)) {
            hold(job, now);
        }
    }

    /** Offers a job to the market: true if a worker with quota took it. */
    private boolean offer(PendingJob job, long now) {
        Commodity good = job.commodity;
        boolean home = settings.crossZonePrice() > 0 && now - job.arrivedAt < period;
        double most =
                job.valueAt(now) < good.jobClass.value() ? job.valueAt(now) / good.jobClass.value() : Double.MAX_VALUE;
        // Danger: worthless jobs fill the slots that worthy ones need; they buy only where prices are low.
        WorkerMarket best = null;
        double shortest = 0;
        for (WorkerMarket s : markets) {
            boolean crosses = s.worker.zone() != settings.zone();
            boolean shut = crosses && home && !s.needsTrialJob
                    || peersHeard() && isCold(s, now) && !coldWorkerHasRoom(s, job, now);
            if (shut || !mayRun(s, job, now) || reportedFull(s, job, now) || s.price[good.index] > most) {
                continue;
            }
            if (s.quota[good.index] <= 0) {
                s.adjustPrice(good, 1 + PRICE_STEP, priceFloor, PRICE_SPAN);
                // Danger: shares are parts of a slot: who keeps a key seldom has quota; it sells on credit.
                boolean keeps = job.key != 0 && s.runSamples != 0 && state.missProbability(s, job.key) <= 0.5;
                if (!keeps || !acceptsJobs(s, now) || isCold(s, now) || s.credit < -s.cost(good)) {
                    continue;
                }
            }
            // Danger: a worker that fails what it starts has short queues, and would draw job after job.
            // What must not run twice is lost with the first failure, however soon that comes.
            double run = (expectedRun(s, job) + expectedWait(s, job, now)) * (1 + s.recentErrors)
                    + (job.effect == Effect.UNSAFE ? UNSAFE_FAILURE_FACTOR * s.errorRate * good.fullValueMicros() : 0)
                    + (crosses ? ZONE_CROSSING_FACTOR * settings.crossZonePrice() * good.fullValueMicros() : 0);
            if (s.needsTrialJob && job.effect == Effect.SAFE) {
                run = 0;
            }
            if (best == null || run < shortest || run == shortest && s.tieBreak < best.tieBreak) {
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
    private double expectedWait(WorkerMarket s, PendingJob job, long now) {
        double slots = state.slotCapacity(s) * state.warmUpFraction(s, now);
        double beyond = job.slots + s.peerSlots + s.outstandingSlots - slots;
        return hold
                        * s.runTimeRatio
                        / slots
                        * (beyond + Math.sqrt(beyond * beyond + QUEUE_UNCERTAINTY_SLOTS * slots))
                        / 2
                + s.lastStartDelay * Math.exp((s.lastStartDelayAt - now) / START_DELAY_DECAY_MICROS);
    }

    private double expectedRun(WorkerMarket s, PendingJob job) {
        return job.commodity.runMicros * job.sizeFactor * s.runTimeRatio
                + state.fetchMicros * state.missProbability(s, job.key);
    }

    private double evenShare(WorkerMarket s) {
        return state.slotCapacity(s) / settings.dispatchers() / tradedFraction;
    }

    private static boolean acceptsJobs(WorkerMarket s, long now) {
        return s.state == WorkerState.READY && !s.queueing && now >= s.backoffUntil;
    }

    @Override
    public boolean avoids(long now, long worker) {
        WorkerMarket s = state.market(worker);
        return s == null || !acceptsJobs(s, now);
    }

    @Override
    public LearnedState learned(long now) {
        return state.exportLearned(commodities, now);
    }

    @Override
    public void recall(long now, LearnedState learned) {
        state.importLearned(learned, commodities, now);
    }

    private boolean isCold(WorkerMarket s, long now) {
        return state.warmUpFraction(s, now) < 1;
    }

    /** No room by its report, less what was sent since; believed for as long as a slot takes to free. */
    private boolean reportedFull(WorkerMarket s, PendingJob job, long now) {
        return (s.freeSlots < 0.5 || s.freeMemory < job.memory)
                && now - s.reportedAt < job.commodity.runMicros * s.runTimeRatio / state.slotCapacity(s);
    }

    /**
     * A cold worker may hold a little more than it can run, up to half of what would push it over with the
     * jobs that it ends meanwhile; the other half is for those not heard of yet.
     */
    private boolean coldWorkerHasRoom(WorkerMarket s, PendingJob job, long now) {
        Cold cold = settings.coldStart();
        double more = (cold.overloadFactor() - 1) * cold.overloadWindow() / 2 / (hold * s.runTimeRatio);
        double most = state.slotCapacity(s) * state.warmUpFraction(s, now) * Math.min(COLD_OVERCOMMIT, more);
        return s.peerSlots + s.outstandingSlots <= 0 || job.slots + s.peerSlots + s.outstandingSlots <= most;
    }

    private boolean mayRun(WorkerMarket s, PendingJob job, long now) {
        JobClass of = job.commodity.jobClass;
        boolean otherKind = of.machineKind() >= 0 && s.worker.kind() != of.machineKind();
        if (s.state != WorkerState.READY || otherKind || job.wasSentTo(s)) {
            return false;
        }
        // Danger: a repeat of a keyed job is dropped only by its group, and only for so long.
        JobAttempt first = job.firstPossibleRun();
        boolean inWindow = first != null && now + period < first.sentAt + of.dedupWindow();
        boolean dropped = inWindow && job.effect == Effect.KEYED && sameGroup(of, s.worker, first.market.worker);
        return job.effect == Effect.SAFE || first == null || dropped;
    }

    private static boolean sameGroup(JobClass of, Worker a, Worker b) {
        return of.group() == Group.ALL || a.zone() == b.zone() && (of.group() == Group.ZONE || a.cell() == b.cell());
    }

    private void send(PendingJob job, WorkerMarket s, long now) {
        JobAttempt a = new JobAttempt(job, s, now, expectedRun(s, job), state.missProbability(s, job.key));
        openAttempts.add(a);
        s.consumeQuota(job.commodity, isCold(s, now));
        state.recordSent(a);
        actions.send(job.id, s.worker.id());
    }

    // ---- what nobody took waits a period ----

    private void hold(PendingJob job, long now) {
        if (unservable(job, now)) {
            giveUp(job);
        } else {
            job.held = true;
            held.add(job);
        }
    }

    /** Danger: holding past the time in which the answer is worth something fills slots with late jobs. */
    private boolean unservable(PendingJob job, long now) {
        boolean late =
                now > job.latestFullValueStart && (job.overShare || job.commodity.jobClass.lateValueFactor() <= 0);
        boolean spent = job.deadline <= now + 2 * period || job.attempts.size() >= settings.maxAttempts();
        return late || spent || job.effect == Effect.UNSAFE && job.firstPossibleRun() != null;
    }

    /** The final answer to a job that won't be served: refused where that is lawful, else failed. */
    private void giveUp(PendingJob job) {
        boolean ran = job.effect != Effect.SAFE && job.firstPossibleRun() != null;
        finish(job, false);
        if (!ran || job.effect == Effect.KEYED && job.commodity.jobClass.group() == Group.ALL) {
            actions.refuse(job.id, settings.maxRetryAfter());
        } else {
            actions.fail(job.id);
        }
    }

    /** The job is over; attempts still out are called off, and keep it known until they end. */
    private void finish(PendingJob job, boolean inTime) {
        boolean first = !job.finished;
        state.recordService(job, settings.objective(), inTime);
        job.finished = true;
        job.held = false;
        for (int i = 0; i < job.attempts.size() && first && settings.mayCancel(); i++) {
            if (!job.attempts.get(i).ended) {
                actions.cancel(job.id, i);
            }
        }
        if (job.openAttempts == 0) {
            state.jobs.remove(job.id);
        }
    }

    // ---- a period ends ----

    @Override
    public void timer(long now) {
        state.advanceClock(now);
        if (now < nextPeriodAt) {
            return;
        }
        nextPeriodAt = Math.max(nextPeriodAt + period, now + 1);
        state.updateValues(commodities, settings.objective(), now);
        held.forEach(job -> job.bid = job.bid(settings.objective(), now));
        held.sort((a, b) -> Double.compare(b.bid, a.bid));
        offerHeld(now, true);
        state.expireAbandonedAttempts(now);
        checkStartDelays(now);
        tenantShares.refill(period, gossip);
        normalizeRunTimes(now);
        gossip(now);
        sendProbes(now);
        markets.forEach(s -> startPeriod(s, now));
        offerHeld(now, false);
        held.removeIf(j -> !j.held);
        if (now >= retryListAt) {
            retryListAt = Long.MAX_VALUE;
            actions.watchList();
        }
        actions.timerAt(nextPeriodAt);
    }

    private boolean peersHeard() {
        return gossip != null && gossip.peerCount() > 0;
    }

    /** Tells the others what is out, and counts what they have out where they were heard. */
    private void gossip(long now) {
        if (gossip != null) {
            gossip.expireSilentPeers(now);
            if (gossip.isMessageDue(now, tenantShares.jobsPerSecond(), hold)) {
                actions.tell(state.peerMessage(gossip, tenantShares.jobsPerSecondByTenant()));
            }
            state.applyPeerLoad(gossip);
        }
    }

    /**
     * Asks those that were not asked for longest. What others tell of their jobs says more, for less; but how
     * many slots a kind of worker has they do not tell, and who has just begun would offer one of each.
     */
    private void sendProbes(long now) {
        int due = probeRateLimiter == null
                ? 0
                : probeRateLimiter.takeDueProbes(now, markets.size(), tenantShares.jobsPerSecond());
        for (WorkerMarket s : state.leastRecentlyProbed(due, peersHeard())) {
            s.probedAt = now;
            actions.probe(s.worker.id());
        }
    }

    @Override
    public void probed(long now, long worker, double freeSlots, double freeMemory) {
        state.advanceClock(now);
        WorkerMarket s = state.market(worker);
        if (s != null) {
            state.recordLoadReport(s, now, freeSlots, freeMemory);
        }
    }

    @Override
    public void heard(long now, int from, byte[] message) {
        state.advanceClock(now);
        if (gossip != null) {
            gossip.receive(now, from, message);
        }
    }

    /** Jobs over their tenant's share, or late, take only what a period leaves over. */
    private void offerHeld(long now, boolean leftover) {
        for (int i = 0; i < held.size(); i++) {
            PendingJob job = held.get(i);
            if (job.held && unservable(job, now)) {
                giveUp(job);
            } else if (job.held && leftover == (job.overShare || now > job.latestFullValueStart)) {
                offer(job, now);
            }
        }
    }

    /**
     * Finds where an own job waits, and offers a copy where its class bears one; the first to start goes on.
     * Danger: where a cancel stops no work, each copy is a run for nothing, and nothing tells where. So a
     * copy has to bid by the slot-second, as jobs do, what it is likely to save.
     */
    private void checkStartDelays(long now) {
        double leastBid = HEDGE_PRICE * state.meanValue(commodities) / hold;
        markets.forEach(s -> s.queueing = false);
        for (int i = 0; i < openAttempts.size(); i++) {
            JobAttempt a = openAttempts.get(i);
            if (a.startedAt == 0 && now - a.sentAt > promptStartLimit(a)) {
                a.market.queueing = true;
                a.market.lastStartDelay = Math.max(a.market.lastStartDelay, now - a.sentAt);
                a.market.lastStartDelayAt = now;
                markQueued(a);
                boolean bears = settings.hedging()
                        && a.job.openAttempts == 1
                        && !a.job.finished
                        && now <= a.job.latestFullValueStart;
                if (bears
                        && a.job.attempts.size() + 1 < settings.maxAttempts()
                        && state.hedgeBenefit(a, now) * a.job.bid(settings.objective(), now) > leastBid) {
                    offer(a.job, now);
                }
            }
        }
    }

    /**
     * How long a prompt start takes, or without start notices a prompt job: 1.5 learned run times. Danger: a
     * connection that must be opened first takes further ways there and back, and says nothing of a queue.
     */
    private double promptStartLimit(JobAttempt a) {
        double further =
                Math.min((CONNECT_DELAY_FACTOR - 1) * a.market.minStartDelay, MAX_START_DELAY_PERIODS * period);
        double usual = settings.startNotices() ? START_SLACK_PERIODS * period : 1.5 * a.expectedMicros;
        return a.market.minStartDelay + (a.opening ? further : 0) + usual;
    }

    /**
     * Average speed stays 1, as an unlearned worker is counted. Danger: shares too small for a job teach
     * nothing, so few workers are traded with; all of them if the few can't or don't take a job in a period.
     */
    private void normalizeRunTimes(long now) {
        double paces = 0;
        double slots = 0;
        for (WorkerMarket s : markets) {
            paces += s.runTimeRatio;
            slots += state.slotCapacity(s);
        }
        double mean = markets.isEmpty() ? 1 : paces / markets.size();
        tradedFraction = Math.min(1, MAX_SHARES_PER_SLOT * slots / markets.size() / settings.dispatchers());
        boolean stranded = true;
        for (WorkerMarket s : markets) {
            s.runTimeRatio /= mean;
            stranded &= s.tieBreak > tradedFraction || !acceptsJobs(s, now);
        }
        tradedFraction = stranded || held.stream().anyMatch(j -> j.heldLongerThan(period, now)) ? 1 : tradedFraction;
        for (Commodity g : commodities) {
            g.runMicros *= g.runCount > 0 ? mean : 1;
        }
        hold = state.meanCost(commodities);
    }

    /** Ends a period, in which leftover lowered the price, and opens the quotas of the next. */
    private void startPeriod(WorkerMarket s, long now) {
        if (now < s.coldQuotaUntil && acceptsJobs(s, now) && !s.quotaExhausted()) {
            return;
        }
        double fresh = s.slotShare * period;
        double need = 0;
        for (Commodity g : commodities) {
            need = g.requestCount > 0 ? Math.max(need, s.cost(g)) : need;
            if (s.quota[g.index] > 0) {
                s.adjustPrice(g, 1 - PRICE_STEP * s.quota[g.index], priceFloor, PRICE_SPAN);
            }
        }
        s.credit = (need > fresh ? s.credit : Math.min(0, s.credit)) + fresh;
        s.credit = Math.max(-need, Math.min(Math.max(fresh, need), s.credit));
        s.clearQuotas();
        boolean trades = acceptsJobs(s, now) && (s.needsTrialJob || s.tieBreak <= tradedFraction);
        if (trades && isCold(s, now)) {
            supplyCold(s, now);
        } else if (trades) {
            fillQuotas(s);
        }
        if (trades && s.needsTrialJob) {
            grantTrialQuota(s);
        }
    }

    /**
     * A worker that comes back, dear or cold, may be passed by for long: it gets the next safe job. Danger:
     * one from every dispatcher at once must stay far below what pushes it over.
     */
    private void grantTrialQuota(WorkerMarket s) {
        Cold cold = settings.coldStart();
        double most =
                cold.initialFraction() * state.slotCapacity(s) * cold.overloadWindow() * cold.overloadFactor() / 2;
        for (Commodity g : commodities) {
            boolean due = g.requestCount > 0
                    && g.jobClass.effect() == Effect.SAFE
                    && settings.dispatchers() * s.conservativeCost(g) <= most;
            s.quota[g.index] = Math.max(due ? 1 : 0, s.quota[g.index]);
        }
    }

    /**
     * A job of each good in turn, the dearest by the slot-second first, until the slot-seconds are used up:
     * what is scarce goes to the dearest, what is ample to all. If the dearest doesn't fit, its credit waits.
     */
    private void fillQuotas(WorkerMarket s) {
        boolean unlearned = s.runSamples == 0;
        double budget = s.credit;
        int before = -1;
        for (int sold = 0; sold > before; ) {
            before = unlearned ? Integer.MAX_VALUE : sold;
            fillRound++;
            for (Commodity g = mostValuable(s); g != null; g = mostValuable(s)) {
                g.fillRound = fillRound;
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
    private Commodity mostValuable(WorkerMarket s) {
        Commodity best = null;
        double most = 0;
        for (Commodity g : commodities) {
            double bySlot = s.price[g.index] * g.weightedValue / g.cost();
            if (g.requestCount > 0 && g.fillRound < fillRound && (best == null || bySlot > most)) {
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
    private void supplyCold(WorkerMarket s, long now) {
        Cold cold = settings.coldStart();
        double capacity = state.warmUpFraction(s, now) * state.slotCapacity(s) * cold.overloadWindow();
        Commodity g = lastRequested;
        double cost = g == null ? capacity : s.conservativeCost(g);
        double sigmas = peersHeard() ? COLD_SIGMAS_WITH_PEERS : COLD_SIGMAS;
        double root =
                (Math.sqrt(sigmas * sigmas * cost + 4 * cold.overloadFactor() * capacity) - sigmas * Math.sqrt(cost))
                        / 2;
        double jobs =
                Math.min(root * root / (1 + COLD_QUOTA_WINDOW_FRACTION), 2 * capacity) / cost / settings.dispatchers();
        boolean drawn = g != null && random.nextDouble() < jobs * period / cold.overloadWindow();
        s.coldQuotaUntil = drawn ? now + (long) (COLD_QUOTA_WINDOW_FRACTION * cold.overloadWindow()) : 0;
        for (Commodity other : commodities) {
            s.quota[other.index] = drawn && other.requestCount > 0 && s.conservativeCost(other) <= cost ? 1 : 0;
        }
    }

    // ---- word of an attempt ----

    @Override
    public void started(long now, long request, int attempt) {
        state.advanceClock(now);
        JobAttempt a = state.openAttempt(request, attempt);
        if (a == null || a.startedAt > 0) {
            return;
        }
        WorkerMarket s = a.market;
        state.recordStarted(a, now);
        s.lastStartDelay = now - a.sentAt > promptStartLimit(a) ? now - a.sentAt : 0;
        s.lastStartDelayAt = now;
        adjustShare(a, now);
        int copy = a.job.otherOpenAttempt(a);
        if (copy >= 0) {
            actions.cancel(request, a.job.attempts.get(copy).startedAt > 0 ? attempt : copy);
        }
    }

    @Override
    public void opening(long request, int attempt) {
        JobAttempt a = state.openAttempt(request, attempt);
        if (a != null) {
            a.opening = true;
        }
    }

    /** Danger: a share that grows while it is not used lets a burst through; only one in use is tried. */
    private void adjustShare(JobAttempt a, long now) {
        WorkerMarket s = a.market;
        if (now - a.sentAt > promptStartLimit(a)) {
            markQueued(a);
        } else if (s.runningSlots >= s.slotShare / 2) {
            s.slotShare = Math.min(state.slotCapacity(s), s.slotShare + SHARE_GROWTH * evenShare(s));
        }
    }

    private void markQueued(JobAttempt a) {
        if (!a.queued) {
            a.queued = true;
            a.market.slotShare = Math.max(evenShare(a.market) / PRICE_SPAN, a.market.slotShare * (1 - SHARE_DECREASE));
        }
    }

    @Override
    public void ended(
            long now, long request, int attempt, Outcome outcome, boolean over, double freeSlots, double freeMemory) {
        state.advanceClock(now);
        JobAttempt a = state.openAttempt(request, attempt);
        if (a == null) {
            return;
        }
        PendingJob job = a.job;
        WorkerMarket s = a.market;
        openAttempts.remove(a);
        double start = a.startedAt > 0 ? a.startedAt : now + expectedWait(s, job, now);
        state.recordEnded(a, now, outcome, (long) (start + a.expectedMicros));
        state.recordLoadReport(s, now, freeSlots, freeMemory);
        switch (outcome) {
            case SERVED -> learnFromServed(a, now);
            case REJECTED -> {
                markQueued(a);
                s.credit = Math.min(0, s.credit);
                backOff(s, now, (long) (job.commodity.runMicros * s.runTimeRatio / state.slotCapacity(s)));
            }
            case ERROR -> {
                s.recentErrors++;
                backOff(s, now, period);
            }
            case CONNECT_FAILED -> backOff(s, now, CONNECT_FAILURE_PERIODS * period);
            case NOT_SENT, CANCELLED -> {}
            default -> backOff(s, now, period);
        }
        if (over || job.finished) {
            double most = job.commodity.jobClass.targetTime()
                    + job.commodity.jobClass.runTimeFactor() * job.commodity.runMicros * job.sizeFactor;
            finish(job, outcome == Outcome.SERVED && now - job.arrivedAt <= most);
        } else if (job.openAttempts == 0) {
            hold(job, now);
        }
    }

    /** What a finished job teaches of its worker's pace and its good's run time. */
    private void learnFromServed(JobAttempt a, long now) {
        WorkerMarket s = a.market;
        s.recentErrors /= 2;
        s.resetFailures(now);
        double run = now - (a.startedAt > 0 ? a.startedAt : a.sentAt);
        if (!settings.startNotices()) {
            adjustShare(a, now);
        }
        // A slot entered at once is known to be free after; one at a key's far worker had better stay idle.
        boolean free = !a.queued && a.job.key == 0;
        s.credit += (free ? a.expectedMicros : Math.max(0, a.expectedMicros - run)) * a.job.slots;
        state.learnFromRun(a, run);
        s.credit = free && s.slotShare < 1 ? Math.max(s.credit, s.cost(a.job.commodity)) : s.credit;
    }

    /** Danger: a worker that fails fast would draw jobs; each failure in a row doubles its bar. */
    private void backOff(WorkerMarket s, long now, long first) {
        s.clearQuotas();
        long step = Math.max(1, first) << Math.min(MAX_BACKOFF_DOUBLINGS, s.recentErrors + s.failuresInRow++);
        s.backoffUntil = now + step + random.nextLong(step);
    }

    @Override
    public void withdrawn(long now, long request) {
        state.advanceClock(now);
        PendingJob job = state.jobs.get(request);
        if (job != null && !job.finished) {
            finish(job, false);
        }
    }

    @Override
    public void workers(long now, ListKind kind, List<Worker> entries) {
        state.advanceClock(now);
        if (kind == ListKind.FAILED) {
            long step = LIST_BACKOFF_MICROS << Math.min(MAX_LIST_BACKOFF_DOUBLINGS, listFailures++);
            retryListAt = now + step + random.nextLong(step);
            return;
        }
        listFailures = 0;
        state.applyWorkerList(kind != ListKind.CHANGES, entries, w -> {
            WorkerMarket s = new WorkerMarket(w, commodities, random.nextDouble(), MAX_START_DELAY_PERIODS * period);
            s.slotShare = evenShare(s);
            return s;
        });
    }
}
