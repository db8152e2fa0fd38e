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
 * Makes every decision of a dispatcher; its interface, with all types, events and actions, is
 * Dispatcher.java.
 *
 * <p>The dispatcher runs a QA-NT market (query allocation by non-tâtonnement pricing) for each worker, over
 * its own pushes. Each period it fills a worker's slot-time with quotas of commodities, those with the
 * highest price per slot-second first. A request that finds no quota raises the commodity's price at that
 * worker, and quota left over lowers it. A job goes to the eligible worker that has quota and the shortest
 * expected completion time; a job that no worker takes is held until the next period. A commodity is the jobs
 * of one class and one width in slots.
 */
public final class Choice implements Dispatcher {
    /** λ: the relative change of a price for each request without quota and each job of quota left over. */
    private static final double PRICE_STEP = 0.1;
    /** Highest price relative to a commodity's value; the lowest one is its inverse or less. */
    private static final double PRICE_SPAN = 16;
    /**
     * Periods in the shortest target time of any class, so that holding a job for a period costs little of
     * its time.
     */
    private static final int PERIODS_PER_TARGET = 8;
    /** Upper limit of the assumed shortest start delay, in periods, until a shorter one is observed. */
    private static final int MAX_START_DELAY_PERIODS = 4;
    /** A start counts as prompt up to this many periods after the shortest start delay. */
    private static final double START_SLACK_PERIODS = 1.5;
    /** Start delay on a connection that has to be opened first, as a multiple of the shortest start delay. */
    private static final double CONNECT_DELAY_FACTOR = 3;
    /**
     * Weight of the price of a zone crossing in the expected completion time. Crossings are avoided for a
     * job's first period.
     */
    private static final double ZONE_CROSSING_FACTOR = 3;
    /**
     * Weight of an unsafe job's probability of failure at a worker, in multiples of the time in which it must
     * be answered for full value.
     */
    private static final double UNSAFE_FAILURE_FACTOR = 4;
    /**
     * Smoothing of the expected queue, because the load of other dispatchers is known only approximately: a
     * variance, in slots, per slot of the worker.
     */
    private static final double QUEUE_UNCERTAINTY_SLOTS = 4;
    /** Time constant with which the last start delay at a worker loses its weight, microseconds. */
    private static final double START_DELAY_DECAY_MICROS = 2e6;
    /** A prompt start increases the worker's share by this fraction of the even share. */
    private static final double SHARE_GROWTH = 0.25;
    /** A delayed start or a rejection reduces the worker's share by this fraction. */
    private static final double SHARE_DECREASE = 0.2;
    /**
     * Even shares are at least one slot divided by this; with many dispatchers, each trades with a part of
     * the workers.
     */
    private static final double MAX_SHARES_PER_SLOT = 4;
    /**
     * A second attempt has to save at least this fraction of the mean value of the work it costs, as if that
     * work were always wasted.
     */
    private static final double HEDGE_PRICE = 0.5;
    /** Safety margin below a cold worker's overload limit, in standard deviations. */
    private static final double COLD_SIGMAS = 3;
    /** The same margin where other dispatchers announce their load. */
    private static final double COLD_SIGMAS_WITH_PEERS = 1;
    /**
     * Slots that a cold worker may hold, as a multiple of what it can run, where other dispatchers announce
     * their load.
     */
    private static final double COLD_OVERCOMMIT = 1.5;
    /** How long a drawn job reserves a cold worker's quota, as a fraction of the overload window. */
    private static final double COLD_QUOTA_WINDOW_FRACTION = 0.25;
    /**
     * Back-off after a failed connection, in periods. It is longer than after other failures, because an
     * absent worker uses up the attempts of job after job.
     */
    private static final int CONNECT_FAILURE_PERIODS = 32;
    /** Maximum number of doublings of a worker's back-off. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;
    /**
     * Maximum number of doublings of the back-off between list requests. Data from discovery counts as known
     * a few seconds after a change, so the delays stay below 1 s.
     */
    private static final int MAX_LIST_BACKOFF_DOUBLINGS = 1;
    /** First delay before the worker list is requested again after a failure. */
    private static final long LIST_BACKOFF_MICROS = 250_000;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long periodMicros;
    private final double priceFloor;
    private final Commodity[] commodities;
    private final MarketState state;
    private final List<WorkerMarket> markets;
    private final List<PendingJob> heldJobs = new ArrayList<>();
    private final List<JobAttempt> openAttempts = new ArrayList<>();
    private final long[] longestTimeLimit;
    private final TenantShares tenantShares;
    /** Mean cost of a job in slot-microseconds, updated each period. */
    private double meanJobCost;

    private Commodity lastRequested;
    /** Fraction of the workers that this dispatcher trades with. */
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
        long shortestTarget = Long.MAX_VALUE;
        commodities = new Commodity[classes.size() * MarketState.WIDTH_BANDS];
        for (int i = 0; i < commodities.length; i++) {
            commodities[i] = new Commodity(classes.get(i / MarketState.WIDTH_BANDS), i);
            shortestTarget = Math.min(shortestTarget, commodities[i].jobClass.targetTime());
        }
        priceFloor = Math.max(1e-3, Math.min(settings.overShareValue(), 1 / PRICE_SPAN));
        periodMicros = Math.max(1_000, shortestTarget / PERIODS_PER_TARGET);
        longestTimeLimit = new long[classes.size()];
        tenantShares = new TenantShares(settings.tenants(), settings.dispatchers());
        state.fetchMicros = periodMicros;
        state.advanceClock(now);
        LoadSources sources = settings.loadSources();
        gossip = !sources.peers()
                ? null
                : new Gossip(settings.dispatchers(), sources.peerPrice(), (int) random.nextLong());
        probeRateLimiter = sources.probes() && sources.reportsOnlyByProbe()
                ? new ProbeRateLimiter(settings.dispatchers(), sources.probePrice())
                : null;
        // Dispatchers with aligned periods would oscillate together, so each starts at a random phase.
        nextPeriodAt = now + 1 + random.nextLong(periodMicros);
        actions.timerAt(nextPeriodAt);
        if (settings.listOnDemand()) {
            actions.watchList();
        }
    }

    // ---- arrival of a request ----

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
            Effect minEffect,
            long workHint,
            boolean possibleRepeat) {
        state.advanceClock(now);
        if (jobClass < 0 || jobClass >= longestTimeLimit.length || state.jobs.containsKey(id)) {
            throw new IllegalArgumentException("request " + id + ": unknown class or id still held");
        }
        double units = Math.max(1, Math.max(slots, memory));
        Commodity commodity = commodities[
                jobClass * MarketState.WIDTH_BANDS + (units <= 1 ? 0 : units <= 2 ? 1 : units <= 4 ? 2 : 3)];
        lastRequested = commodity;
        commodity.recordRequest(units, workHint);
        longestTimeLimit[jobClass] = Math.max(longestTimeLimit[jobClass], timeLeft);
        long age = timeLeft < longestTimeLimit[jobClass] ? Math.max(0, commodity.jobClass.deadline() - timeLeft) : 0;
        // Where repeats are not marked as such, late ones would crowd out jobs that can still be answered in
        // time.
        boolean overShare = !tenantShares.tryAcquire(tenant, age < periodMicros && !possibleRepeat) || possibleRepeat;
        double value = commodity.jobClass.value() * (overShare ? settings.overShareValue() : 1);
        double sizeFactor = commodity.sizeFactor(workHint);
        long latestFullValueStart = now
                - age
                + (long) (commodity.jobClass.targetTime()
                                + Math.max(0, commodity.jobClass.runTimeFactor() - 1)
                                        * commodity.runMicros
                                        * sizeFactor)
                        / 2;
        PendingJob job = new PendingJob(
                id,
                now,
                commodity,
                key,
                units,
                memory,
                value,
                overShare,
                latestFullValueStart,
                now + timeLeft,
                minEffect,
                workHint,
                sizeFactor);
        state.jobs.put(id, job);
        state.countKey(key);
        if (overShare || now > job.latestFullValueStart || unservable(job, now) || !offer(job, now)) {
            holdOrGiveUp(job, now);
        }
    }

    /** Offers a job to the markets; true if a worker with quota took it. */
    private boolean offer(PendingJob job, long now) {
        Commodity commodity = job.commodity;
        boolean preferOwnZone = settings.crossZonePrice() > 0 && now - job.arrivedAt < periodMicros;
        double maxPrice = job.valueAt(now) < commodity.jobClass.value()
                ? job.valueAt(now) / commodity.jobClass.value()
                : Double.MAX_VALUE;
        // Jobs of reduced value buy only where prices are low, or they would fill the slots that jobs of full
        // value need.
        WorkerMarket best = null;
        double lowestCost = 0;
        for (WorkerMarket market : markets) {
            boolean crosses = market.worker.zone() != settings.zone();
            boolean excluded = crosses && preferOwnZone && !market.needsTrialJob
                    || peersHeard() && isCold(market, now) && !coldWorkerHasRoom(market, job, now);
            if (excluded
                    || !mayRun(market, job, now)
                    || reportedFull(market, job, now)
                    || market.price[commodity.index] > maxPrice) {
                continue;
            }
            if (market.quota[commodity.index] <= 0) {
                market.adjustPrice(commodity, 1 + PRICE_STEP, priceFloor, PRICE_SPAN);
                // Shares are fractions of a slot, so a worker that has the key cached seldom has quota left; it
                // sells on credit.
                boolean cachesKey =
                        job.key != 0 && market.runSamples != 0 && state.missProbability(market, job.key) <= 0.5;
                if (!cachesKey
                        || !acceptsJobs(market, now)
                        || isCold(market, now)
                        || market.credit < -market.cost(commodity)) {
                    continue;
                }
            }
            // A worker that fails jobs quickly has short queues and would attract more of them. An unsafe job is
            // lost with its first failure, however fast the worker fails it.
            double cost = (expectedRun(market, job) + expectedWait(market, job, now)) * (1 + market.recentErrors)
                    + (job.effect == Effect.UNSAFE
                            ? UNSAFE_FAILURE_FACTOR * market.errorRate * commodity.fullValueMicros()
                            : 0)
                    + (crosses ? ZONE_CROSSING_FACTOR * settings.crossZonePrice() * commodity.fullValueMicros() : 0);
            if (market.needsTrialJob && job.effect == Effect.SAFE) {
                cost = 0;
            }
            if (best == null || cost < lowestCost || cost == lowestCost && market.tieBreak < best.tieBreak) {
                best = market;
                lowestCost = cost;
            }
        }
        if (best != null) {
            send(job, best, now);
        }
        return best != null;
    }

    /**
     * Expected queueing time of a job at a worker, from the reported load of other dispatchers, own open jobs
     * there and the last observed start delay. With many dispatchers, each sees too few jobs for its shares
     * to react to a queue in time; ranking workers by run time alone would overload the fastest ones and
     * leave the others idle.
     */
    private double expectedWait(WorkerMarket market, PendingJob job, long now) {
        double slots = state.slotCapacity(market) * state.warmUpFraction(market, now);
        double excess = job.slots + market.peerSlots + market.outstandingSlots - slots;
        return meanJobCost
                        * market.runTimeRatio
                        / slots
                        * (excess + Math.sqrt(excess * excess + QUEUE_UNCERTAINTY_SLOTS * slots))
                        / 2
                + market.lastStartDelay * Math.exp((market.lastStartDelayAt - now) / START_DELAY_DECAY_MICROS);
    }

    private double expectedRun(WorkerMarket market, PendingJob job) {
        return job.commodity.runMicros * job.sizeFactor * market.runTimeRatio
                + state.fetchMicros * state.missProbability(market, job.key);
    }

    private double evenShare(WorkerMarket market) {
        return state.slotCapacity(market) / settings.dispatchers() / tradedFraction;
    }

    private static boolean acceptsJobs(WorkerMarket market, long now) {
        return market.state == WorkerState.READY && !market.queueing && now >= market.backoffUntil;
    }

    @Override
    public boolean avoids(long now, long worker) {
        WorkerMarket market = state.market(worker);
        return market == null || !acceptsJobs(market, now);
    }

    @Override
    public LearnedState learned(long now) {
        return state.exportLearned(commodities, now);
    }

    @Override
    public void recall(long now, LearnedState learned) {
        state.importLearned(learned, commodities, now);
    }

    private boolean isCold(WorkerMarket market, long now) {
        return state.warmUpFraction(market, now) < 1;
    }

    /**
     * The last load report, less what was sent since, leaves no room for the job. The report is trusted for
     * as long as a slot takes to become free.
     */
    private boolean reportedFull(WorkerMarket market, PendingJob job, long now) {
        return (market.freeSlots < 0.5 || market.freeMemory < job.memory)
                && now - market.reportedAt < job.commodity.runMicros * market.runTimeRatio / state.slotCapacity(market);
    }

    /**
     * Whether a cold worker can hold another job. It may hold slightly more than it can run, up to half of
     * what would overload it, counting the jobs that it completes meanwhile; the other half is left for
     * dispatchers whose announcements have not arrived yet.
     */
    private boolean coldWorkerHasRoom(WorkerMarket market, PendingJob job, long now) {
        Cold cold = settings.coldStart();
        double overcommit =
                (cold.overloadFactor() - 1) * cold.overloadWindow() / 2 / (meanJobCost * market.runTimeRatio);
        double maxSlots =
                state.slotCapacity(market) * state.warmUpFraction(market, now) * Math.min(COLD_OVERCOMMIT, overcommit);
        return market.peerSlots + market.outstandingSlots <= 0
                || job.slots + market.peerSlots + market.outstandingSlots <= maxSlots;
    }

    private boolean mayRun(WorkerMarket market, PendingJob job, long now) {
        JobClass jobClass = job.commodity.jobClass;
        boolean otherKind = jobClass.machineKind() >= 0 && market.worker.kind() != jobClass.machineKind();
        if (market.state != WorkerState.READY || otherKind || job.wasSentTo(market)) {
            return false;
        }
        // A repeat of a keyed job is deduplicated only within its group, and only for the length of the window.
        JobAttempt firstRun = job.firstPossibleRun();
        boolean inWindow = firstRun != null && now + periodMicros < firstRun.sentAt + jobClass.dedupWindow();
        boolean deduplicated =
                inWindow && job.effect == Effect.KEYED && sameGroup(jobClass, market.worker, firstRun.market.worker);
        return job.effect == Effect.SAFE || firstRun == null || deduplicated;
    }

    private static boolean sameGroup(JobClass jobClass, Worker a, Worker b) {
        return jobClass.group() == Group.ALL
                || a.zone() == b.zone() && (jobClass.group() == Group.ZONE || a.cell() == b.cell());
    }

    private void send(PendingJob job, WorkerMarket market, long now) {
        JobAttempt a =
                new JobAttempt(job, market, now, expectedRun(market, job), state.missProbability(market, job.key));
        openAttempts.add(a);
        market.consumeQuota(job.commodity, isCold(market, now));
        state.recordSent(a);
        actions.send(job.id, market.worker.id());
    }

    // ---- jobs held for the next period ----

    private void holdOrGiveUp(PendingJob job, long now) {
        if (unservable(job, now)) {
            giveUp(job);
        } else {
            job.held = true;
            heldJobs.add(job);
        }
    }

    /**
     * Whether a job can't be answered with any value any more. Holding it longer would fill slots with late
     * jobs.
     */
    private boolean unservable(PendingJob job, long now) {
        boolean late =
                now > job.latestFullValueStart && (job.overShare || job.commodity.jobClass.lateValueFactor() <= 0);
        boolean exhausted = job.deadline <= now + 2 * periodMicros || job.attempts.size() >= settings.maxAttempts();
        return late || exhausted || job.effect == Effect.UNSAFE && job.firstPossibleRun() != null;
    }

    /**
     * Sends the final answer to a job that won't be served: a refusal if it has certainly not run or can
     * safely be sent again, else a failure.
     */
    private void giveUp(PendingJob job) {
        boolean mayHaveRun = job.effect != Effect.SAFE && job.firstPossibleRun() != null;
        finish(job, false);
        if (!mayHaveRun || job.effect == Effect.KEYED && job.commodity.jobClass.group() == Group.ALL) {
            actions.refuse(job.id, settings.maxRetryAfter());
        } else {
            actions.fail(job.id);
        }
    }

    /** Finishes a job and cancels its open attempts. The job stays registered until those have ended. */
    private void finish(PendingJob job, boolean servedInTime) {
        boolean firstTime = !job.finished;
        state.recordService(job, settings.objective(), servedInTime);
        job.finished = true;
        job.held = false;
        for (int i = 0; i < job.attempts.size() && firstTime && settings.mayCancel(); i++) {
            if (!job.attempts.get(i).ended) {
                actions.cancel(job.id, i);
            }
        }
        if (job.openAttempts == 0) {
            state.jobs.remove(job.id);
        }
    }

    // ---- end of a period ----

    @Override
    public void timer(long now) {
        state.advanceClock(now);
        if (now < nextPeriodAt) {
            return;
        }
        nextPeriodAt = Math.max(nextPeriodAt + periodMicros, now + 1);
        state.updateValues(commodities, settings.objective(), now);
        heldJobs.forEach(job -> job.bid = job.bid(settings.objective(), now));
        heldJobs.sort((a, b) -> Double.compare(b.bid, a.bid));
        offerHeld(now, true);
        state.expireAbandonedAttempts(now);
        checkStartDelays(now);
        tenantShares.refill(periodMicros, gossip);
        normalizeRunTimes(now);
        exchangeLoad(now);
        sendProbes(now);
        markets.forEach(market -> startPeriod(market, now));
        offerHeld(now, false);
        heldJobs.removeIf(job -> !job.held);
        if (now >= retryListAt) {
            retryListAt = Long.MAX_VALUE;
            actions.watchList();
        }
        actions.timerAt(nextPeriodAt);
    }

    private boolean peersHeard() {
        return gossip != null && gossip.peerCount() > 0;
    }

    /** Announces own load to the other dispatchers, and takes over the load that they announced. */
    private void exchangeLoad(long now) {
        if (gossip != null) {
            gossip.expireSilentPeers(now);
            if (gossip.isMessageDue(now, tenantShares.jobsPerSecond(), meanJobCost)) {
                actions.tell(state.peerMessage(gossip, tenantShares.jobsPerSecondByTenant()));
            }
            state.applyPeerLoad(gossip);
        }
    }

    /**
     * Probes the workers that were not probed for the longest time. Announcements of other dispatchers say
     * more about load at a lower price, but not how many slots a kind of worker has; a dispatcher that has
     * just started would assume one slot each.
     */
    private void sendProbes(long now) {
        int count = probeRateLimiter == null
                ? 0
                : probeRateLimiter.takeDueProbes(now, markets.size(), tenantShares.jobsPerSecond());
        for (WorkerMarket market : state.leastRecentlyProbed(count, peersHeard())) {
            market.probedAt = now;
            actions.probe(market.worker.id());
        }
    }

    @Override
    public void probed(long now, long worker, double freeSlots, double freeMemory) {
        state.advanceClock(now);
        WorkerMarket market = state.market(worker);
        if (market != null) {
            state.recordLoadReport(market, now, freeSlots, freeMemory);
        }
    }

    @Override
    public void heard(long now, int from, byte[] message) {
        state.advanceClock(now);
        if (gossip != null) {
            gossip.receive(now, from, message);
        }
    }

    /**
     * Offers held jobs again. Jobs that are late or over their tenant's share get only the quota left over
     * from the last period.
     */
    private void offerHeld(long now, boolean lowPriority) {
        for (int i = 0; i < heldJobs.size(); i++) {
            PendingJob job = heldJobs.get(i);
            if (job.held && unservable(job, now)) {
                giveUp(job);
            } else if (job.held && lowPriority == (job.overShare || now > job.latestFullValueStart)) {
                offer(job, now);
            }
        }
    }

    /**
     * Detects own jobs that have not started promptly, and offers a second attempt (hedge) where the class
     * allows it; the attempt that starts first continues. Where a cancellation doesn't stop the work, every
     * second attempt costs a full run, and the dispatcher can't detect this. The value that the hedge is
     * expected to save must therefore pay for its slot-time, as with any job.
     */
    private void checkStartDelays(long now) {
        double minBid = HEDGE_PRICE * state.meanValue(commodities) / meanJobCost;
        markets.forEach(market -> market.queueing = false);
        for (int i = 0; i < openAttempts.size(); i++) {
            JobAttempt a = openAttempts.get(i);
            if (a.startedAt == 0 && now - a.sentAt > promptStartLimit(a)) {
                a.market.queueing = true;
                a.market.lastStartDelay = Math.max(a.market.lastStartDelay, now - a.sentAt);
                a.market.lastStartDelayAt = now;
                markQueued(a);
                boolean mayHedge = settings.hedging()
                        && a.job.openAttempts == 1
                        && !a.job.finished
                        && now <= a.job.latestFullValueStart;
                if (mayHedge
                        && a.job.attempts.size() + 1 < settings.maxAttempts()
                        && state.hedgeBenefit(a, now) * a.job.bid(settings.objective(), now) > minBid) {
                    offer(a.job, now);
                }
            }
        }
    }

    /**
     * Longest delay of a prompt start; without start notices, of a prompt answer: 1.5 expected run times. A
     * connection that must be opened first adds round trips, which don't indicate a queue.
     */
    private double promptStartLimit(JobAttempt a) {
        double connectDelay =
                Math.min((CONNECT_DELAY_FACTOR - 1) * a.market.minStartDelay, MAX_START_DELAY_PERIODS * periodMicros);
        double allowance = settings.startNotices() ? START_SLACK_PERIODS * periodMicros : 1.5 * a.expectedMicros;
        return a.market.minStartDelay + (a.opening ? connectDelay : 0) + allowance;
    }

    /**
     * Normalizes run-time ratios to an average of 1, which is also the assumed ratio of a worker with no
     * samples. Selects the fraction of workers to trade with: shares smaller than a job yield no
     * observations, so with many dispatchers each uses a part of the workers, or all of them if that part
     * can't or doesn't take a job within a period.
     */
    private void normalizeRunTimes(long now) {
        double ratioSum = 0;
        double slotSum = 0;
        for (WorkerMarket market : markets) {
            ratioSum += market.runTimeRatio;
            slotSum += state.slotCapacity(market);
        }
        double meanRatio = markets.isEmpty() ? 1 : ratioSum / markets.size();
        tradedFraction = Math.min(1, MAX_SHARES_PER_SLOT * slotSum / markets.size() / settings.dispatchers());
        boolean noneAvailable = true;
        for (WorkerMarket market : markets) {
            market.runTimeRatio /= meanRatio;
            noneAvailable &= market.tieBreak > tradedFraction || !acceptsJobs(market, now);
        }
        tradedFraction = noneAvailable || heldJobs.stream().anyMatch(job -> job.heldLongerThan(periodMicros, now))
                ? 1
                : tradedFraction;
        for (Commodity commodity : commodities) {
            commodity.runMicros *= commodity.runCount > 0 ? meanRatio : 1;
        }
        meanJobCost = state.meanCost(commodities);
    }

    /**
     * Ends a worker's period, in which quota left over lowers its price, and sets the quotas of the next one.
     */
    private void startPeriod(WorkerMarket market, long now) {
        if (now < market.coldQuotaUntil && acceptsJobs(market, now) && !market.quotaExhausted()) {
            return;
        }
        double income = market.slotShare * periodMicros;
        double largestCost = 0;
        for (Commodity commodity : commodities) {
            largestCost = commodity.requestCount > 0 ? Math.max(largestCost, market.cost(commodity)) : largestCost;
            if (market.quota[commodity.index] > 0) {
                market.adjustPrice(commodity, 1 - PRICE_STEP * market.quota[commodity.index], priceFloor, PRICE_SPAN);
            }
        }
        market.credit = (largestCost > income ? market.credit : Math.min(0, market.credit)) + income;
        market.credit = Math.max(-largestCost, Math.min(Math.max(income, largestCost), market.credit));
        market.clearQuotas();
        boolean trades = acceptsJobs(market, now) && (market.needsTrialJob || market.tieBreak <= tradedFraction);
        if (trades && isCold(market, now)) {
            supplyCold(market, now);
        } else if (trades) {
            fillQuotas(market);
        }
        if (trades && market.needsTrialJob) {
            grantTrialQuota(market);
        }
    }

    /**
     * Gives a worker that came back into service quota for the next safe job, because one that is expensive
     * or cold might get no job for long. The limit keeps one such job from every dispatcher at once far below
     * what overloads the worker.
     */
    private void grantTrialQuota(WorkerMarket market) {
        Cold cold = settings.coldStart();
        double limit =
                cold.initialFraction() * state.slotCapacity(market) * cold.overloadWindow() * cold.overloadFactor() / 2;
        for (Commodity commodity : commodities) {
            boolean eligible = commodity.requestCount > 0
                    && commodity.jobClass.effect() == Effect.SAFE
                    && settings.dispatchers() * market.conservativeCost(commodity) <= limit;
            market.quota[commodity.index] = Math.max(eligible ? 1 : 0, market.quota[commodity.index]);
        }
    }

    /**
     * Fills quotas with one job of each commodity in turn, those with the highest price per slot-second
     * first, until the credit is used up: scarce capacity goes to the most valuable commodities, ample
     * capacity to all. If the first one doesn't fit, the credit is saved for it.
     */
    private void fillQuotas(WorkerMarket market) {
        boolean unlearned = market.runSamples == 0;
        double budget = market.credit;
        int soldBefore = -1;
        for (int sold = 0; sold > soldBefore; ) {
            soldBefore = unlearned ? Integer.MAX_VALUE : sold;
            fillRound++;
            for (Commodity commodity = mostValuable(market); commodity != null; commodity = mostValuable(market)) {
                commodity.fillRound = fillRound;
                if (unlearned || budget >= market.cost(commodity)) {
                    market.quota[commodity.index]++;
                    budget -= market.cost(commodity);
                    sold++;
                } else if (sold == 0) {
                    return;
                }
            }
        }
    }

    /** The commodity with the highest price per slot-second that has not been considered in this round. */
    private Commodity mostValuable(WorkerMarket market) {
        Commodity best = null;
        double highest = 0;
        for (Commodity commodity : commodities) {
            double valuePerSlot = market.price[commodity.index] * commodity.weightedValue / commodity.cost();
            if (commodity.requestCount > 0
                    && commodity.fillRound < fillRound
                    && (best == null || valuePerSlot > highest)) {
                best = commodity;
                highest = valuePerSlot;
            }
        }
        return best;
    }

    /**
     * Sets the quota of a cold worker. Dispatchers that each saved up credit for a cold worker would send
     * their jobs together and overload it. Its quota is therefore drawn at random, one job at a time, at a
     * rate that keeps the sum over all dispatchers below the overload limit at the slowest warm-up allowed,
     * by a margin of several standard deviations; the margin is smaller where other dispatchers announce
     * their load. Commodities are drawn in proportion to their demand.
     */
    private void supplyCold(WorkerMarket market, long now) {
        Cold cold = settings.coldStart();
        double capacity = state.warmUpFraction(market, now) * state.slotCapacity(market) * cold.overloadWindow();
        Commodity commodity = lastRequested;
        double cost = commodity == null ? capacity : market.conservativeCost(commodity);
        double sigmas = peersHeard() ? COLD_SIGMAS_WITH_PEERS : COLD_SIGMAS;
        double root =
                (Math.sqrt(sigmas * sigmas * cost + 4 * cold.overloadFactor() * capacity) - sigmas * Math.sqrt(cost))
                        / 2;
        double jobs =
                Math.min(root * root / (1 + COLD_QUOTA_WINDOW_FRACTION), 2 * capacity) / cost / settings.dispatchers();
        boolean drawn = commodity != null && random.nextDouble() < jobs * periodMicros / cold.overloadWindow();
        market.coldQuotaUntil = drawn ? now + (long) (COLD_QUOTA_WINDOW_FRACTION * cold.overloadWindow()) : 0;
        for (Commodity other : commodities) {
            market.quota[other.index] =
                    drawn && other.requestCount > 0 && market.conservativeCost(other) <= cost ? 1 : 0;
        }
    }

    // ---- events of an attempt ----

    @Override
    public void started(long now, long request, int attempt) {
        state.advanceClock(now);
        JobAttempt a = state.openAttempt(request, attempt);
        if (a == null || a.startedAt > 0) {
            return;
        }
        WorkerMarket market = a.market;
        state.recordStarted(a, now);
        market.lastStartDelay = now - a.sentAt > promptStartLimit(a) ? now - a.sentAt : 0;
        market.lastStartDelayAt = now;
        adjustShare(a, now);
        int other = a.job.otherOpenAttempt(a);
        if (other >= 0) {
            actions.cancel(request, a.job.attempts.get(other).startedAt > 0 ? attempt : other);
        }
    }

    @Override
    public void opening(long request, int attempt) {
        JobAttempt a = state.openAttempt(request, attempt);
        if (a != null) {
            a.opening = true;
        }
    }

    /**
     * Adjusts the share of a worker by a start. Only a share that is in use grows, since a share that grew
     * while idle would let a burst through.
     */
    private void adjustShare(JobAttempt a, long now) {
        WorkerMarket market = a.market;
        if (now - a.sentAt > promptStartLimit(a)) {
            markQueued(a);
        } else if (market.runningSlots >= market.slotShare / 2) {
            market.slotShare =
                    Math.min(state.slotCapacity(market), market.slotShare + SHARE_GROWTH * evenShare(market));
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
            long now,
            long request,
            int attempt,
            Outcome outcome,
            boolean requestFinished,
            double freeSlots,
            double freeMemory) {
        state.advanceClock(now);
        JobAttempt a = state.openAttempt(request, attempt);
        if (a == null) {
            return;
        }
        PendingJob job = a.job;
        WorkerMarket market = a.market;
        openAttempts.remove(a);
        double start = a.startedAt > 0 ? a.startedAt : now + expectedWait(market, job, now);
        state.recordEnded(a, now, outcome, (long) (start + a.expectedMicros));
        state.recordLoadReport(market, now, freeSlots, freeMemory);
        switch (outcome) {
            case SERVED -> learnFromServed(a, now);
            case REJECTED -> {
                markQueued(a);
                market.credit = Math.min(0, market.credit);
                backOff(market, now, (long)
                        (job.commodity.runMicros * market.runTimeRatio / state.slotCapacity(market)));
            }
            case ERROR -> {
                market.recentErrors++;
                backOff(market, now, periodMicros);
            }
            case CONNECT_FAILED -> backOff(market, now, CONNECT_FAILURE_PERIODS * periodMicros);
            case NOT_SENT, CANCELLED -> {}
            default -> backOff(market, now, periodMicros);
        }
        if (requestFinished || job.finished) {
            double fullValueLimit = job.commodity.jobClass.targetTime()
                    + job.commodity.jobClass.runTimeFactor() * job.commodity.runMicros * job.sizeFactor;
            finish(job, outcome == Outcome.SERVED && now - job.arrivedAt <= fullValueLimit);
        } else if (job.openAttempts == 0) {
            holdOrGiveUp(job, now);
        }
    }

    /** Updates the estimates and the worker's credit from a served job. */
    private void learnFromServed(JobAttempt a, long now) {
        WorkerMarket market = a.market;
        market.recentErrors /= 2;
        market.resetFailures(now);
        double elapsed = now - (a.startedAt > 0 ? a.startedAt : a.sentAt);
        if (!settings.startNotices()) {
            adjustShare(a, now);
        }
        // A slot that was entered at once is known to be free afterwards. Jobs with a key are excluded, because
        // a worker that doesn't have the key cached is better left idle.
        boolean slotWasFree = !a.queued && a.job.key == 0;
        market.credit += (slotWasFree ? a.expectedMicros : Math.max(0, a.expectedMicros - elapsed)) * a.job.slots;
        state.learnFromRun(a, elapsed);
        market.credit = slotWasFree && market.slotShare < 1
                ? Math.max(market.credit, market.cost(a.job.commodity))
                : market.credit;
    }

    /**
     * Sends the worker nothing for a while, doubling with each failure in a row; a worker that fails fast
     * would otherwise attract jobs.
     */
    private void backOff(WorkerMarket market, long now, long baseDelay) {
        market.clearQuotas();
        long step =
                Math.max(1, baseDelay) << Math.min(MAX_BACKOFF_DOUBLINGS, market.recentErrors + market.failuresInRow++);
        market.backoffUntil = now + step + random.nextLong(step);
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
        state.applyWorkerList(kind != ListKind.CHANGES, entries, worker -> {
            WorkerMarket market =
                    new WorkerMarket(worker, commodities, random.nextDouble(), MAX_START_DELAY_PERIODS * periodMicros);
            market.slotShare = evenShare(market);
            return market;
        });
    }
}
