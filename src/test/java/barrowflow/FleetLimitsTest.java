package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests extreme worker lists: thousands of workers, none, all cold, all suspected, and entries that change
 * state constantly.
 */
class FleetLimitsTest {
    private static final int NODES = 14;

    private static FakeHost host(long seed) {
        return new FakeHost(FakeHost.settings(NODES, List.of(), FakeHost.SAFE), seed);
    }

    private static List<Worker> workers(long from, long to, long startedAt) {
        return LongStream.rangeClosed(from, to)
                .mapToObj(id -> new Worker(id, 0, 0, 0, WorkerState.READY, startedAt))
                .toList();
    }

    /** Sends jobs at intervals and serves each that is dispatched; returns the number served. */
    private static int serve(FakeHost host, long firstId, int jobs) {
        int served = 0;
        for (int i = 0; i < jobs; i++) {
            host.request(firstId + i, 0);
            host.pass(2 * FakeHost.PERIOD);
            if (host.sends(firstId + i) > 0) {
                served++;
                host.started(firstId + i, 0);
                host.module.ended(host.now, firstId + i, 0, Outcome.SERVED, true, 4, 4);
            }
        }
        return served;
    }

    @Test
    void largeChangesOfTheListTakeEffectAtOnce() {
        FakeHost host = host(3);
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 5_000, 0));
        assertEquals(20, serve(host, 1, 20));
        host.module.workers(host.now, ListKind.WHOLE, List.of());
        assertEquals(0, serve(host, 100, 5), "no workers");
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 2_500, 0));
        assertEquals(20, serve(host, 200, 20));
        host.module.workers(host.now, ListKind.WHOLE, workers(2_501, 2_600, 0));
        int before = host.sent.size();
        assertEquals(20, serve(host, 300, 20));
        assertTrue(host.sent.stream().skip(before).allMatch(s -> s.worker() > 2_500), "sent to a removed worker");
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 5_000, 0));
        assertEquals(20, serve(host, 400, 20));
    }

    /**
     * A hundred dispatchers share 60 workers, and jobs run for a hundred periods or longer. The few workers
     * that one dispatcher uses then have no quota left for seconds, and jobs would be refused although slots
     * are free at others. They go to workers at which earlier jobs started at once.
     */
    @Test
    void longJobsOfManyDispatchersAreNotRefusedWhileSlotsAreFree() {
        for (int maxRunning : new int[] {5, 25}) {
            assertNoneRefused(maxRunning);
        }
    }

    private static void assertNoneRefused(int maxRunning) {
        FakeHost host = new FakeHost(FakeHost.settings(100, List.of(), FakeHost.SAFE), 5);
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 60, 0));
        Deque<Long> running = new ArrayDeque<>();
        int started = 0;
        for (long i = 0; i < 200; i++) {
            host.request(i, 0);
            for (int period = 0; period < 20; period++) {
                for (; started < host.sent.size(); started++) {
                    host.started(host.sent.get(started).request(), 0);
                    running.add(host.sent.get(started).request());
                }
                host.pass(FakeHost.PERIOD);
            }
            if (running.size() > maxRunning) {
                host.ended(running.remove(), 0, Outcome.SERVED);
            }
        }
        assertEquals(List.of(), host.refused);
        assertEquals(200, host.sent.size());
    }

    @Test
    void flappingWorkersGetNoJobWhileDraining() {
        FakeHost host = host(4);
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 20, 0));
        for (int i = 0; i < 200; i++) {
            WorkerState state = i % 2 == 0 ? WorkerState.DRAINING : WorkerState.READY;
            List<Worker> changes = new ArrayList<>();
            for (long id = 1; id <= 10; id++) {
                changes.add(new Worker(id, 0, 0, 0, i % 3 == 2 ? WorkerState.GONE : state, 0));
            }
            host.module.workers(host.now, ListKind.CHANGES, changes);
            int before = host.sent.size();
            serve(host, 1_000L + 10 * i, 2);
            if (state == WorkerState.DRAINING || i % 3 == 2) {
                assertTrue(host.sent.stream().skip(before).allMatch(s -> s.worker() > 10), "round " + i);
            }
        }
        assertTrue(host.sent.size() > 300, "only " + host.sent.size() + " of 400 jobs were sent");
    }

    /** If 14 nodes repeated failed calls at once, they would keep discovery busy with failing calls. */
    @Test
    void failingDiscoveryIsCalledAtAConstantRate() {
        FakeHost host = host(5);
        host.module.workers(host.now, ListKind.CACHED, workers(1, 60, 0));
        int[] calls = new int[4];
        for (int quarter = 0; quarter < 4; quarter++) {
            long end = host.now + 45_000_000;
            int counted = host.watches;
            while (host.now < end) {
                host.pass(FakeHost.PERIOD);
                if (host.watches > counted) {
                    calls[quarter] += host.watches - counted;
                    counted = host.watches;
                    host.module.workers(host.now, ListKind.FAILED, List.of());
                } else if (quarter == 0 && calls[0] == 0) {
                    calls[0]++;
                    host.module.workers(host.now, ListKind.FAILED, List.of());
                }
            }
        }
        for (int quarter = 0; quarter < 4; quarter++) {
            assertTrue(calls[quarter] >= 45 && calls[quarter] <= 70, "called " + calls[quarter] + " times");
        }
        assertEquals(10, serve(host, 1, 10), "jobs are served from the last known list");
    }

    @Test
    void anEntirelyColdFleetIsUsed() {
        FakeHost host = host(6);
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 60, host.now));
        // One of 14 nodes may send only its part of what the slowest warm-up allows: a tenth of its jobs.
        serve(host, 1, 100);
        assertTrue(host.sent.size() >= 8, "only " + host.sent.size() + " of 100 jobs were sent");
    }

    /** Every worker refuses connections for a while; none may be excluded permanently. */
    @Test
    void anEntirelySuspectedFleetIsTriedAgain() {
        FakeHost host = host(7);
        host.module.workers(host.now, ListKind.WHOLE, workers(1, 12, 0));
        for (long id = 1; id <= 60; id++) {
            host.request(id, 0);
            host.pass(4 * FakeHost.PERIOD);
            host.endAll(Outcome.CONNECT_FAILED);
        }
        int tried = host.sent.size();
        assertTrue(tried <= 60, "unreachable workers used " + tried + " attempts");
        host.pass(120_000_000);
        assertTrue(serve(host, 1_000, 20) >= 18, "recovered workers are still excluded");
    }
}
