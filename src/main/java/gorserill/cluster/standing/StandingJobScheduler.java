package gorserill.cluster.standing;

import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.Member.ClaimResult;
import gorserill.cluster.member.PieceHandler;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs standing jobs at the node that owns them. Each occurrence is claimed in the log as an act before it
 * runs. A job of a non-repeatable class runs at most once; any other runs at least once, and its key makes
 * repeated runs take effect only once. All calls are made on the member's thread.
 */
public final class StandingJobScheduler implements PieceHandler {
    /** The result of a job that was passed to the node. */
    public enum JobResult {
        SERVED,
        /** The job did not run and may be tried again. */
        REFUSED,
        FAILED
    }

    /** Passes a job to the node, and its result to {@code then}, once, on the member's thread. */
    @FunctionalInterface
    public interface Runner {
        void run(StandingJob job, long time, long epoch, int attempt, Consumer<JobResult> then);
    }

    /** Receives a line for the log on each step of an occurrence. */
    @FunctionalInterface
    public interface EventListener {
        void onEvent(String job, long number, long epoch, String what);
    }

    private static final long REFUSED_RETRY_MS = 500;
    private static final int MAX_REFUSED_RETRIES = 20;
    private static final long CLAIM_RETRY_MS = 50;
    /** The most missed occurrences that are considered; older ones are left out. */
    private static final int MAX_CATCH_UP = 100;

    private static final long MAX_SLEEP_MS = 60_000;

    private static final class OwnedJob {
        final StandingJob job;
        final long epoch;
        /** The highest occurrence that has been claimed or left out. */
        long lastHandled;

        int openActs;
        boolean claiming;
        Runnable whenIdle;

        OwnedJob(StandingJob job, long epoch, long lastHandled) {
            this.job = job;
            this.epoch = epoch;
            this.lastHandled = lastHandled;
        }
    }

    private final Map<String, StandingJob> jobs = new LinkedHashMap<>();
    private final Map<String, OwnedJob> ownedJobs = new HashMap<>();
    private final ClusterEnvironment ground;
    private final LongSupplier unixMillis;
    private final Runner runner;
    private final EventListener listener;
    private Member member;

    /** @param unixMillis Unix time, used for the schedule only; no guarantee depends on its accuracy */
    public StandingJobScheduler(
            List<StandingJob> all,
            ClusterEnvironment ground,
            LongSupplier unixMillis,
            Runner runner,
            EventListener listener) {
        all.forEach(job -> jobs.put(job.name(), job));
        this.ground = ground;
        this.unixMillis = unixMillis;
        this.runner = runner;
        this.listener = listener;
    }

    /** Sets the member through which acts are claimed. Has to be called before the member starts. */
    public void setMember(Member claimingMember) {
        member = claimingMember;
    }

    public List<String> jobNames() {
        return List.copyOf(jobs.keySet());
    }

    @Override
    public void owns(String piece, long epoch, long last, SortedSet<Long> unknown) {
        StandingJob job = jobs.get(piece);
        if (job == null) {
            return;
        }
        long current = job.occurrenceAt(unixMillis.getAsLong());
        OwnedJob owned = new OwnedJob(job, epoch, last > 0 ? last : current);
        ownedJobs.put(piece, owned);
        listener.onEvent(piece, last, epoch, "owned from here on");
        for (long act : unknown) {
            if (job.repeatable()) {
                claimAgain(owned, act);
            } else {
                listener.onEvent(piece, act, epoch, "may have run, and is not run again");
                member.done(piece, epoch, act);
            }
        }
        next(owned);
    }

    private boolean mayClaim(OwnedJob owned) {
        return ownedJobs.get(owned.job.name()) == owned
                && member.epoch(owned.job.name()) == owned.epoch
                && owned.whenIdle == null;
    }

    /**
     * Claims or leaves out the occurrences that are due, one after another, and sleeps until the next. With
     * several claims in flight, a later occurrence could reach the log before an earlier one, which would then
     * count as handled and never run.
     */
    private void next(OwnedJob owned) {
        if (!mayClaim(owned) || owned.claiming) {
            return;
        }
        StandingJob job = owned.job;
        long now = unixMillis.getAsLong();
        long newest = job.occurrenceAt(now);
        long number = owned.lastHandled + 1;
        if (number > newest) {
            ground.after(Math.max(1, Math.min(MAX_SLEEP_MS, job.timeOf(newest + 1) - now)), () -> next(owned));
        } else if (newest - number > MAX_CATCH_UP) {
            owned.lastHandled = newest - MAX_CATCH_UP;
            listener.onEvent(job.name(), number, owned.epoch, "missed, and left out: all until " + owned.lastHandled);
            next(owned);
        } else if (now - job.timeOf(number) <= job.latenessLimitMs()
                || job.missedPolicy() == StandingJob.MissedPolicy.ALL
                || job.missedPolicy() == StandingJob.MissedPolicy.LAST && number == newest) {
            claim(owned, number);
        } else {
            owned.lastHandled = number;
            listener.onEvent(job.name(), number, owned.epoch, "missed, and left out");
            next(owned);
        }
    }

    private void claim(OwnedJob owned, long number) {
        owned.claiming = true;
        owned.openActs++;
        member.claim(owned.job.name(), number, false, answer -> {
            if (answer == ClaimResult.UNKNOWN || answer == ClaimResult.RETRY) {
                // An occurrence that is not retried would count as handled once a later one is claimed.
                retryClaim(owned, number, answer, () -> claim(owned, number));
                return;
            }
            owned.claiming = false;
            owned.lastHandled = number;
            onClaimAnswer(owned, number, answer, "claimed");
            next(owned);
        });
    }

    /** Claims an act of a former epoch whose outcome is unknown, in order to run it again. */
    private void claimAgain(OwnedJob owned, long number) {
        owned.openActs++;
        member.claim(owned.job.name(), number, true, answer -> {
            if (answer == ClaimResult.UNKNOWN || answer == ClaimResult.RETRY) {
                retryClaim(owned, number, answer, () -> claimAgain(owned, number));
            } else {
                onClaimAnswer(owned, number, answer, "claimed again");
            }
        });
    }

    /** Retries while this node owns the piece under the same epoch; after that, its next owner handles the act. */
    private void retryClaim(OwnedJob owned, long number, ClaimResult answer, Runnable retry) {
        listener.onEvent(owned.job.name(), number, owned.epoch, "not claimed: " + answer);
        actEnded(owned);
        ground.after(CLAIM_RETRY_MS, () -> {
            if (ownedJobs.get(owned.job.name()) == owned && owned.whenIdle == null) {
                retry.run();
            }
        });
    }

    private void onClaimAnswer(OwnedJob owned, long number, ClaimResult answer, String how) {
        if (answer == ClaimResult.GRANTED) {
            listener.onEvent(owned.job.name(), number, owned.epoch, how);
            run(owned, number, 0);
        } else {
            listener.onEvent(owned.job.name(), number, owned.epoch, "not claimed: " + answer);
            actEnded(owned);
        }
    }

    private void run(OwnedJob owned, long number, int retries) {
        runner.run(owned.job, owned.job.timeOf(number), owned.epoch, retries, result -> {
            if (result == JobResult.REFUSED && retries < MAX_REFUSED_RETRIES) {
                ground.after(REFUSED_RETRY_MS, () -> run(owned, number, retries + 1));
                return;
            }
            listener.onEvent(owned.job.name(), number, owned.epoch, result.toString());
            member.done(owned.job.name(), owned.epoch, number);
            actEnded(owned);
        });
    }

    private void actEnded(OwnedJob owned) {
        owned.openActs--;
        if (owned.openActs == 0 && owned.whenIdle != null) {
            owned.whenIdle.run();
        }
    }

    @Override
    public void handOver(String piece, long epoch, Runnable then) {
        OwnedJob owned = ownedJobs.get(piece);
        if (owned == null || owned.epoch != epoch || owned.openActs == 0) {
            then.run();
        } else {
            owned.whenIdle = then;
        }
    }

    @Override
    public void lost(String piece, long epoch) {
        OwnedJob owned = ownedJobs.get(piece);
        if (owned != null && owned.epoch == epoch) {
            ownedJobs.remove(piece);
            listener.onEvent(piece, owned.lastHandled, epoch, "owned no more");
        }
    }
}
