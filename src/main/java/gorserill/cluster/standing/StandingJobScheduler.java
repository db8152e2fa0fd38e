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
 * Fires standing jobs at the node that owns them. Each time is an act that is claimed first: of a class that
 * must never run twice it is fired once at the most, of any other once at least and, by its key, once in
 * effect. All of it runs on the member's thread.
 */
public final class StandingJobScheduler implements PieceHandler {
    /** What became of a job that was handed over. */
    public enum JobResult {
        SERVED,
        /** It never ran, and may be tried again. */
        REFUSED,
        FAILED
    }

    /** Hands a job to the node; the end is told once, on the member's thread. */
    @FunctionalInterface
    public interface Runner {
        void run(StandingJob job, long time, long epoch, int attempt, Consumer<JobResult> then);
    }

    /** Hears what is done, for the log. */
    @FunctionalInterface
    public interface EventListener {
        void onEvent(String job, long number, long epoch, String what);
    }

    /** A job that is refused is tried again after so long, so often. */
    private static final long AGAIN = 500;

    private static final int TRIES = 20;
    private static final long AGAIN_CLAIM = 50;
    /** Times that are made up for at once, at the most. */
    private static final int CAUGHT_UP = 100;

    private static final long LONGEST_SLEEP = 60_000;

    private static final class Owned {
        final StandingJob job;
        final long epoch;
        /** The highest time that was dealt with. */
        long done;

        int open;
        boolean claiming;
        Runnable whenIdle;

        Owned(StandingJob job, long epoch, long done) {
            this.job = job;
            this.epoch = epoch;
            this.done = done;
        }
    }

    private final Map<String, StandingJob> jobs = new LinkedHashMap<>();
    private final Map<String, Owned> owned = new HashMap<>();
    private final ClusterEnvironment ground;
    private final LongSupplier unix;
    private final Runner runner;
    private final EventListener listener;
    private Member member;

    /** @param unix milliseconds of Unix time, for the times alone: no promise rests on it */
    public StandingJobScheduler(
            List<StandingJob> all,
            ClusterEnvironment ground,
            LongSupplier unix,
            Runner runner,
            EventListener listener) {
        all.forEach(job -> jobs.put(job.name(), job));
        this.ground = ground;
        this.unix = unix;
        this.runner = runner;
        this.listener = listener;
    }

    /** The member that claims; to be told before it starts. */
    public void setMember(Member its) {
        member = its;
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
        long now = job.occurrenceAt(unix.getAsLong());
        Owned its = new Owned(job, epoch, last > 0 ? last : now);
        owned.put(piece, its);
        listener.onEvent(piece, last, epoch, "owned from here on");
        for (long act : unknown) {
            if (job.repeatable()) {
                again(its, act);
            } else {
                listener.onEvent(piece, act, epoch, "may have run, and is not run again");
                member.done(piece, epoch, act);
            }
        }
        next(its);
    }

    private boolean holds(Owned its) {
        return owned.get(its.job.name()) == its && member.epoch(its.job.name()) == its.epoch && its.whenIdle == null;
    }

    /**
     * Deals with the times that have come, one after another, and sleeps until the next. Danger: claimed all
     * at once, a later one could reach the log before an earlier one, which then counts as dealt with and
     * never is.
     */
    private void next(Owned its) {
        if (!holds(its) || its.claiming) {
            return;
        }
        StandingJob job = its.job;
        long now = unix.getAsLong();
        long newest = job.occurrenceAt(now);
        long number = its.done + 1;
        if (number > newest) {
            ground.after(Math.max(1, Math.min(LONGEST_SLEEP, job.timeOf(newest + 1) - now)), () -> next(its));
        } else if (newest - number > CAUGHT_UP) {
            its.done = newest - CAUGHT_UP;
            listener.onEvent(job.name(), number, its.epoch, "missed, and left out: all until " + its.done);
            next(its);
        } else if (now - job.timeOf(number) <= job.latenessLimitMs()
                || job.missedPolicy() == StandingJob.MissedPolicy.ALL
                || job.missedPolicy() == StandingJob.MissedPolicy.LAST && number == newest) {
            claim(its, number);
        } else {
            its.done = number;
            listener.onEvent(job.name(), number, its.epoch, "missed, and left out");
            next(its);
        }
    }

    private void claim(Owned its, long number) {
        its.claiming = true;
        its.open++;
        member.claim(its.job.name(), number, false, answer -> {
            if (answer == ClaimResult.UNKNOWN || answer == ClaimResult.RETRY) {
                // Danger: given up, it would count as dealt with once a later one is claimed.
                retry(its, number, answer, () -> claim(its, number));
                return;
            }
            its.claiming = false;
            its.done = number;
            claimed(its, number, answer, "claimed");
            next(its);
        });
    }

    /** An act of a former epoch, whose end is not known, is done once more. */
    private void again(Owned its, long number) {
        its.open++;
        member.claim(its.job.name(), number, true, answer -> {
            if (answer == ClaimResult.UNKNOWN || answer == ClaimResult.RETRY) {
                retry(its, number, answer, () -> again(its, number));
            } else {
                claimed(its, number, answer, "claimed again");
            }
        });
    }

    /** As long as the piece is this node's under this epoch; after that its next owner sees to it. */
    private void retry(Owned its, long number, ClaimResult answer, Runnable what) {
        listener.onEvent(its.job.name(), number, its.epoch, "not claimed: " + answer);
        over(its);
        ground.after(AGAIN_CLAIM, () -> {
            if (owned.get(its.job.name()) == its && its.whenIdle == null) {
                what.run();
            }
        });
    }

    private void claimed(Owned its, long number, ClaimResult answer, String how) {
        if (answer == ClaimResult.GRANTED) {
            listener.onEvent(its.job.name(), number, its.epoch, how);
            run(its, number, 0);
        } else {
            listener.onEvent(its.job.name(), number, its.epoch, "not claimed: " + answer);
            over(its);
        }
    }

    private void run(Owned its, long number, int tries) {
        runner.run(its.job, its.job.timeOf(number), its.epoch, tries, end -> {
            if (end == JobResult.REFUSED && tries < TRIES) {
                ground.after(AGAIN, () -> run(its, number, tries + 1));
                return;
            }
            listener.onEvent(its.job.name(), number, its.epoch, end.toString());
            member.done(its.job.name(), its.epoch, number);
            over(its);
        });
    }

    private void over(Owned its) {
        its.open--;
        if (its.open == 0 && its.whenIdle != null) {
            its.whenIdle.run();
        }
    }

    @Override
    public void handOver(String piece, long epoch, Runnable then) {
        Owned its = owned.get(piece);
        if (its == null || its.epoch != epoch || its.open == 0) {
            then.run();
        } else {
            its.whenIdle = then;
        }
    }

    @Override
    public void lost(String piece, long epoch) {
        Owned its = owned.get(piece);
        if (its != null && its.epoch == epoch) {
            owned.remove(piece);
            listener.onEvent(piece, its.done, epoch, "owned no more");
        }
    }
}
