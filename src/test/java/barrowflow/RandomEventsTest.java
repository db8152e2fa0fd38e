package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Tenant;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends random events with fixed seeds and checks every action of the dispatcher against its documented rules. */
class RandomEventsTest {
    private static final Dispatcher.JobClass[] CLASSES = {
        FakeHost.jobClass(Effect.SAFE, Group.ALL, 5, 0.3),
        FakeHost.jobClass(Effect.KEYED, Group.ZONE, 1, 0),
        FakeHost.jobClass(Effect.KEYED, Group.CELL, 1, 0.5),
        FakeHost.jobClass(Effect.KEYED, Group.ALL, 1, 0.5),
        FakeHost.jobClass(Effect.UNSAFE, Group.ALL, 1, 0.5),
        new Dispatcher.JobClass(300_000, 2, 2_000_000, 2, 0, Effect.SAFE, Group.ALL, 0, 1),
    };

    private static final class Attempt {
        final long worker;
        final long at;
        Outcome ended;

        Attempt(long worker, long at) {
            this.worker = worker;
            this.at = at;
        }
    }

    private static final class Request {
        int jobClass;
        long deadline;
        String answer;
        final List<Attempt> attempts = new ArrayList<>();
    }

    private final TreeMap<Long, Request> requests = new TreeMap<>();
    private final Map<Long, Worker> listed = new HashMap<>();
    private final Map<Long, WorkerState> states = new HashMap<>();
    private FakeHost host;
    private int checkedActions;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void actionsFollowTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        host = new FakeHost(
                FakeHost.settings(1 + (int) (seed % 4), List.of(new Tenant(20), new Tenant(5), new Tenant(5)), CLASSES),
                seed);
        list(random, ListKind.CACHED);
        for (int step = 0; step < 6_000; step++) {
            host.pass(random.nextLong(12_000));
            check();
            expireAttempts();
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> arrive(random, step);
                case 3 -> list(random, random.nextInt(4) == 0 ? ListKind.WHOLE : ListKind.CHANGES);
                case 4 -> host.module.workers(host.now, ListKind.FAILED, List.of());
                case 5 -> withdraw(random.nextInt(step + 1));
                default -> attemptEvent(random);
            }
            check();
        }
        for (int i = 0; i < 1_000; i++) {
            host.pass(10_000);
            check();
            expireAttempts();
        }
        requests.values().forEach(a -> assertNotNull(a.answer));
        assertTrue(requests.values().stream()
                        .filter(a -> a.answer.equals("served"))
                        .count()
                > 100);
    }

    private void arrive(SplittableRandom random, long id) {
        Request a = new Request();
        a.jobClass = random.nextInt(CLASSES.length);
        long left = random.nextInt(20) == 0 ? 0 : CLASSES[a.jobClass].deadline() - random.nextLong(1_500_000);
        a.deadline = host.now + left;
        requests.put(id, a);
        host.module.request(
                host.now,
                id,
                a.jobClass,
                random.nextInt(4),
                random.nextInt(3) * 7L,
                left,
                1 << random.nextInt(4),
                random.nextDouble() * 3);
    }

    private void withdraw(long id) {
        host.module.withdrawn(host.now, id);
        Request a = requests.get(id);
        if (a != null && a.answer == null) {
            a.answer = "withdrawn";
        }
    }

    private void list(SplittableRandom random, ListKind kind) {
        List<Worker> entries = new ArrayList<>();
        for (long id = 1; id <= 12; id++) {
            if (kind == ListKind.CHANGES && random.nextInt(4) > 0) {
                continue;
            }
            int state = random.nextInt(8);
            if (kind != ListKind.CHANGES && state == 0) {
                states.put(id, WorkerState.GONE);
                continue;
            }
            WorkerState as = state < 6 ? WorkerState.READY : state == 6 ? WorkerState.DRAINING : WorkerState.GONE;
            Worker w = new Worker(
                    id,
                    (int) id % 2,
                    (int) id % 3,
                    (int) id % 6,
                    as,
                    random.nextInt(3) == 0 ? host.now - random.nextLong(20_000_000) : 0);
            entries.add(w);
            listed.put(id, w);
            states.put(id, as);
        }
        host.module.workers(host.now, kind, entries);
    }

    /** Sends an event of some attempt: its start, its end, or a repetition of an earlier event. */
    private void attemptEvent(SplittableRandom random) {
        if (requests.isEmpty()) {
            return;
        }
        Long id = requests.floorKey(Math.max(requests.firstKey(), requests.lastKey() - random.nextInt(60)));
        Request a = requests.get(id);
        if (a.attempts.isEmpty()) {
            return;
        }
        int n = random.nextInt(a.attempts.size());
        if (random.nextInt(3) == 0) {
            host.started(id, n);
            return;
        }
        Outcome how =
                random.nextInt(3) > 0 ? Outcome.SERVED : Outcome.values()[random.nextInt(Outcome.values().length)];
        end(id, a, n, how, random);
    }

    private void end(long id, Request a, int n, Outcome how, SplittableRandom random) {
        Attempt t = a.attempts.get(n);
        if (t.ended == null) {
            t.ended = how;
            if (how == Outcome.SERVED && a.answer == null) {
                a.answer = "served";
            }
        }
        double free = random == null ? Double.NaN : random.nextInt(4);
        host.module.ended(host.now, id, n, how, a.answer != null, free, free);
    }

    /** Times out the attempts of every job whose deadline has passed; the job must then have an answer. */
    private void expireAttempts() {
        requests.forEach((id, a) -> {
            if (a.deadline <= host.now && a.answer == null) {
                for (int n = 0; n < a.attempts.size(); n++) {
                    if (a.attempts.get(n).ended == null) {
                        end(id, a, n, Outcome.TIMEOUT, null);
                    }
                }
                check();
                assertNotNull(a.answer, "request " + id + " was lost");
            }
        });
    }

    private void check() {
        for (; checkedActions < host.all.size(); checkedActions++) {
            String[] f = host.all.get(checkedActions).split(" ");
            if (f[1].equals("watch")) {
                continue;
            }
            Request a = requests.get(Long.parseLong(f[2]));
            long at = Long.parseLong(f[0]);
            switch (f[1]) {
                case "send" -> sent(a, Long.parseLong(f[3]), at);
                case "refuse" -> {
                    assertTrue(refusalAllowed(a), "refusal not allowed for request " + f[2]);
                    answered(a, f[1]);
                }
                case "fail" -> answered(a, f[1]);
                default ->
                    assertTrue(Integer.parseInt(f[3]) < a.attempts.size(), "cancel of an attempt that was not sent");
            }
        }
    }

    private static void answered(Request a, String answer) {
        assertEquals(null, a.answer, "more than one answer");
        a.answer = answer;
    }

    private boolean refusalAllowed(Request a) {
        Dispatcher.JobClass of = CLASSES[a.jobClass];
        return of.effect() == Effect.SAFE
                || of.effect() == Effect.KEYED && of.group() == Group.ALL
                || a.attempts.stream().allMatch(t -> t.ended != null && t.ended.neverRan);
    }

    private void sent(Request a, long worker, long at) {
        Dispatcher.JobClass of = CLASSES[a.jobClass];
        assertEquals(null, a.answer, "sent after the answer");
        assertTrue(a.attempts.size() < 4, "more than 4 attempts");
        assertTrue(at < a.deadline, "sent after the deadline");
        assertEquals(WorkerState.READY, states.get(worker), "sent to a worker that is not ready");
        Worker to = listed.get(worker);
        assertTrue(of.machineKind() < 0 || of.machineKind() == to.kind(), "sent to a worker of the wrong kind");
        for (Attempt t : a.attempts) {
            if (t.ended != null && t.ended.neverRan) {
                continue;
            }
            assertFalse(of.effect() == Effect.UNSAFE, "unsafe job sent again though it may have run");
            if (of.effect() == Effect.KEYED) {
                Worker first = listed.get(t.worker);
                assertTrue(at < t.at + of.dedupWindow(), "sent after the deduplication window");
                assertTrue(
                        of.group() == Group.ALL
                                || first.zone() == to.zone() && (of.group() == Group.ZONE || first.cell() == to.cell()),
                        "sent outside the deduplication group");
            }
        }
        a.attempts.add(new Attempt(worker, at));
    }
}
