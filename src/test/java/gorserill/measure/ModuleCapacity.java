package gorserill.measure;

import barrowflow.Choice;
import barrowflow.Dispatcher;
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
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the decision module costs with many workers and tenants, each task running for 18 s and 6.9 of them at
 * a worker, as docs/CAPACITY.md assumes: processor time a job and a period, heap, and what a zone that is
 * lost at once costs. Rounds are repeated; each has a module of its own.
 *
 * <pre>java -cp target/test-classes:CLASSPATH gorserill.measure.ModuleCapacity ROUNDS AIM_MS TENANTS...
 * </pre>
 */
public final class ModuleCapacity implements Dispatcher.Actions {
    private static final double RUN = 18e6;
    private static final double AT_A_WORKER = 6.9;
    /** Jobs a second that a node has at most here: 3,800 over 18 nodes. */
    private static final double A_NODE = 211;

    private static final double SLOTS = 8;
    private static final int ZONES = 17;
    private static final long WARM = 45_000_000;
    private static final long AFTER = 2_000_000;
    private static final long MEASURED = 20_000_000;

    private record Sent(long request, int attempt, long worker, long at) {}

    private final Map<Long, Integer> attempts = new HashMap<>();
    private final ArrayDeque<Sent> fresh = new ArrayDeque<>();
    private ArrayDeque<Sent> running = new ArrayDeque<>();
    private final Map<Long, Integer> taken = new HashMap<>();
    private final Dispatcher module;
    private final int workers;
    private final int tenants;
    private final double gap;
    private long timer;
    private long now = 1_000_000_000;
    private long nextJob = now;
    private long jobs;
    private long ids;
    private long periods;
    private long refused;
    private double inJobs;
    private double inPeriods;

    private ModuleCapacity(int workers, int tenants, long aim) {
        this.workers = workers;
        this.tenants = tenants;
        double all = workers * AT_A_WORKER * 1e6 / RUN;
        int dispatchers = (int) Math.max(1, Math.round(all / A_NODE));
        gap = 1e6 * dispatchers / all;
        List<JobClass> classes = new ArrayList<>();
        for (Effect effect : List.of(Effect.SAFE, Effect.KEYED, Effect.UNSAFE, Effect.SAFE)) {
            classes.add(new JobClass(aim, 2.5, 120_000_000, 5, 0.5, effect, Group.ALL, 120_000_000, -1));
        }
        List<Tenant> quotas = new ArrayList<>();
        for (int i = 0; i < tenants; i++) {
            quotas.add(new Tenant(1.5 * all / tenants));
        }
        module = new Choice(
                new Settings(
                        dispatchers,
                        0,
                        classes,
                        quotas,
                        0.1,
                        new Cold(0.3, 24_000_000, 4, 2_000_000),
                        5,
                        true,
                        2_000_000,
                        false,
                        true,
                        0,
                        true),
                1,
                now,
                this);
        module.workers(now, ListKind.WHOLE, list(workers, 0, WorkerState.READY));
    }

    private static List<Worker> list(int workers, long startedAt, WorkerState state) {
        List<Worker> list = new ArrayList<>();
        for (int id = 1; id <= workers; id++) {
            list.add(new Worker(id, id % 3, id % ZONES, 0, state, startedAt));
        }
        return list;
    }

    public static void main(String[] args) {
        int rounds = Integer.parseInt(args[0]);
        long aim = Long.parseLong(args[1]) * 1_000;
        System.out.println("| workers | tenants | us a job | us a period | heap, bytes a worker"
                + " | whole list, ms |"
                + " 2 s: ms as usual, ms after a zone is lost, tasks lost with it | jobs refused before |"
                + " what was learned: ms to write it, MB | us for a change of one worker |");
        System.out.println("|" + " --- |".repeat(10));
        for (int arg = 2; arg < args.length; arg++) {
            for (int workers : new int[] {10, 100, 1_000, 10_000}) {
                Spread[] told = new Spread[11];
                Arrays.setAll(told, i -> new Spread());
                heap(workers, Integer.parseInt(args[arg]), aim, rounds, told[2]);
                for (int round = 0; round < rounds; round++) {
                    round(workers, Integer.parseInt(args[arg]), aim, told);
                }
                System.out.printf(
                        "| %d | %s | %s | %s | %s | %s | %s, %s, %s | %s | %s, %s | %s |%n",
                        workers, args[arg], told[0], told[1], told[2], told[3], told[4], told[5], told[6], told[7],
                        told[8], told[9], told[10]);
            }
        }
    }

    /** What was made before is kept meanwhile, so that nothing but the fresh one is counted. */
    private static void heap(int workers, int tenants, long aim, int rounds, Spread told) {
        List<ModuleCapacity> kept = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            double before = Spread.heap();
            kept.add(new ModuleCapacity(workers, tenants, aim));
            told.add((Spread.heap() - before) / workers);
        }
        kept.clear();
    }

    private static void round(int workers, int tenants, long aim, Spread[] told) {
        double from = Spread.cpu();
        ModuleCapacity its = new ModuleCapacity(workers, tenants, aim);
        told[3].add((Spread.cpu() - from) / 1e3);
        its.passUntil(its.now + WARM);
        its.inJobs = 0;
        its.inPeriods = 0;
        its.jobs = 0;
        its.periods = 0;
        its.passUntil(its.now + MEASURED);
        told[0].add(its.inJobs / its.jobs);
        told[1].add(its.inPeriods / its.periods);
        told[7].add(its.refused);
        told[10].add(its.changeOne());
        double kept = Spread.cpu();
        told[9].add(its.writeLearned() / 1e6);
        told[8].add((Spread.cpu() - kept) / 1e3);
        told[4].add((its.inJobs + its.inPeriods) / MEASURED * AFTER / 1e3);
        double before = its.inJobs + its.inPeriods;
        told[6].add(its.loseZone(3));
        its.passUntil(its.now + AFTER);
        told[5].add((its.inJobs + its.inPeriods - before) / 1e3);
    }

    private void passUntil(long end) {
        while (Math.min(timer, nextJob) <= end) {
            boolean period = timer <= nextJob;
            now = Math.max(now, Math.min(timer, nextJob));
            double from = Spread.cpu();
            if (period) {
                timer = Long.MAX_VALUE;
                module.timer(now);
                periods++;
            } else {
                nextJob += (long) gap;
                jobs++;
                module.request(now, ++ids, (int) (ids % 4), (int) (ids % tenants), 0, 120_000_000, 1, 0);
            }
            startAndEnd();
            double took = Spread.cpu() - from;
            inPeriods += period ? took : 0;
            inJobs += period ? 0 : took;
        }
        now = end;
    }

    /** What was sent starts at once; what has run for long enough ends, with its worker's report. */
    private void startAndEnd() {
        for (Sent sent = fresh.poll(); sent != null; sent = fresh.poll()) {
            module.started(now, sent.request, sent.attempt);
            taken.merge(sent.worker, 1, Integer::sum);
            running.add(sent);
        }
        while (!running.isEmpty() && now - running.peek().at >= RUN) {
            Sent sent = running.poll();
            taken.merge(sent.worker, -1, Integer::sum);
            attempts.remove(sent.request);
            module.ended(
                    now,
                    sent.request,
                    sent.attempt,
                    Outcome.SERVED,
                    true,
                    Math.max(0, SLOTS - taken.get(sent.worker)),
                    4);
        }
    }

    /** Microseconds for word that one worker drains, is gone or is there anew. */
    private double changeOne() {
        int times = Math.min(20, workers / 2);
        double from = Spread.cpu();
        for (int i = 1; i <= times; i++) {
            for (WorkerState state : List.of(WorkerState.DRAINING, WorkerState.GONE, WorkerState.READY)) {
                module.workers(
                        now,
                        ListKind.CHANGES,
                        List.of(new Worker(
                                workers - i, i % 3, i % ZONES, 0, state, state == WorkerState.READY ? now : 0)));
            }
        }
        return (Spread.cpu() - from) / times / 3;
    }

    /** All workers of a zone end at once: their tasks are reset, and the list says so. Gives those tasks. */
    private int loseZone(int zone) {
        List<Worker> gone = list(workers, 0, WorkerState.GONE).stream()
                .filter(w -> w.zone() == zone)
                .toList();
        ArrayDeque<Sent> rest = new ArrayDeque<>();
        int lost = 0;
        double from = Spread.cpu();
        for (Sent sent : running) {
            if (sent.worker % ZONES == zone) {
                lost++;
                module.ended(now, sent.request, sent.attempt, Outcome.RESET, false, Double.NaN, Double.NaN);
            } else {
                rest.add(sent);
            }
        }
        running = rest;
        module.workers(now, ListKind.CHANGES, gone);
        inPeriods += Spread.cpu() - from;
        return lost;
    }

    /** Writes what was learned, by the calls that a node makes each second for its successor. Gives bytes. */
    private long writeLearned() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
            json.writeStartObject();
            for (Map.Entry<Long, List<Double>> one :
                    module.learned(now).byWorker().entrySet()) {
                json.writeArrayFieldStart("worker-" + one.getKey());
                json.writeNumber(now);
                json.writeStartArray();
                for (double number : one.getValue()) {
                    json.writeNumber(number);
                }
                json.writeEndArray();
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.size();
    }

    @Override
    public void send(long request, long worker) {
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        fresh.add(new Sent(request, attempt, worker, now));
    }

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void refuse(long request, long wait) {
        refused++;
    }

    @Override
    public void fail(long request) {
        refused++;
    }

    @Override
    public void timerAt(long time) {
        timer = time;
    }

    @Override
    public void watchList() {}
}
