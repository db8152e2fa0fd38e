package barrowflow;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Tenant;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.util.ArrayList;
import java.util.List;

/** Host for tests: records the actions of the dispatcher and fires its timers on a virtual clock. */
final class FakeHost implements Dispatcher.Actions {
    record Sent(long request, long worker, long at) {}

    /** Length of the dispatcher's period under these settings, in microseconds. */
    static final long PERIOD = 25_000;

    static final JobClass SAFE = jobClass(Effect.SAFE, Group.ALL, 1, 0);
    static final JobClass UNSAFE = jobClass(Effect.UNSAFE, Group.ALL, 1, 0);
    static final JobClass KEYED_ZONE = jobClass(Effect.KEYED, Group.ZONE, 1, 0);

    final List<Sent> sent = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> all = new ArrayList<>();
    int watches;
    private int endedUpTo;
    long timerAt = Long.MAX_VALUE;
    long now = 1_000_000;
    final Dispatcher module;

    FakeHost(Settings settings, long seed) {
        module = new Choice(settings, seed, now, this);
    }

    FakeHost(JobClass... classes) {
        this(settings(1, List.of(), classes), 7);
    }

    static JobClass jobClass(Effect effect, Group group, double worth, double lateShare) {
        return new JobClass(200_000, 2, 5_000_000, worth, lateShare, effect, group, 3_000_000, -1);
    }

    static Settings settings(int dispatchers, List<Tenant> tenants, JobClass... classes) {
        return new Settings(
                dispatchers,
                0,
                List.of(classes),
                tenants,
                0.05,
                new Cold(0.2, 10_000_000, 3, 1_000_000),
                4,
                true,
                2_000_000,
                true,
                true,
                0.03);
    }

    static Worker worker(long id) {
        return new Worker(id, 0, 0, 0, WorkerState.READY, 0);
    }

    /** Lists workers 1 to n, all ready and in one zone. */
    FakeHost withWorkers(int n) {
        List<Worker> list = new ArrayList<>();
        for (int i = 1; i <= n; i++) {
            list.add(worker(i));
        }
        module.workers(now, ListKind.WHOLE, list);
        return this;
    }

    void request(long id, int jobClass) {
        module.request(now, id, jobClass, 0, 0, 5_000_000, 1, 0);
    }

    /** Advances the clock and fires the dispatcher's timers. */
    void pass(long micros) {
        long end = now + micros;
        while (timerAt <= end) {
            now = Math.max(now, timerAt);
            timerAt = Long.MAX_VALUE;
            module.timer(now);
        }
        now = end;
    }

    void started(long request, int attempt) {
        module.started(now, request, attempt);
    }

    void ended(long request, int attempt, Outcome outcome) {
        module.ended(now, request, attempt, outcome, outcome == Outcome.SERVED, Double.NaN, Double.NaN);
    }

    /** Runs one job to its end; returns the id of the worker it was sent to. */
    long runOne(long id, int jobClass, long micros) {
        request(id, jobClass);
        pass(300_000 - 1);
        Sent s = lastSend(id);
        started(id, 0);
        pass(micros);
        ended(id, 0, Outcome.SERVED);
        return s.worker();
    }

    /** Ends every attempt that has not ended yet; returns their number. */
    int endAll(Outcome outcome) {
        int from = endedUpTo;
        for (; endedUpTo < sent.size(); endedUpTo++) {
            long request = sent.get(endedUpTo).request();
            int attempt = (int) sent.stream()
                    .limit(endedUpTo)
                    .filter(s -> s.request() == request)
                    .count();
            ended(request, attempt, outcome);
        }
        return endedUpTo - from;
    }

    Sent lastSend(long request) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).request() == request) {
                return sent.get(i);
            }
        }
        throw new AssertionError("request " + request + " was never sent");
    }

    long sends(long request) {
        return sent.stream().filter(s -> s.request() == request).count();
    }

    @Override
    public void send(long request, long worker) {
        sent.add(new Sent(request, worker, now));
        all.add(now + " send " + request + " " + worker);
    }

    @Override
    public void cancel(long request, int attempt) {
        cancelled.add(request + "/" + attempt);
        all.add(now + " cancel " + request + " " + attempt);
    }

    @Override
    public void refuse(long request, long wait) {
        refused.add(request);
        all.add(now + " refuse " + request + " " + wait);
    }

    @Override
    public void fail(long request) {
        failed.add(request);
        all.add(now + " fail " + request);
    }

    @Override
    public void timerAt(long time) {
        timerAt = time;
    }

    @Override
    public void watchList() {
        watches++;
        all.add(now + " watch");
    }
}
