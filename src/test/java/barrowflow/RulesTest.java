package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the rules for refusing, repeating and placing jobs, and the effect of each attempt outcome. */
class RulesTest {

    @Test
    void anEmptyListStillGetsAnAnswerInTime() {
        FakeHost host = new FakeHost(FakeHost.SAFE);
        host.request(1, 0);
        host.pass(4_900_000);
        assertEquals(List.of(1L), host.refused);
        assertTrue(host.sent.isEmpty());
    }

    /** The effect stated by a job applies only if it is stricter than that of its class. */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void theStricterOfJobAndClassEffectApplies(Effect own) {
        for (var jobClass : List.of(FakeHost.SAFE, FakeHost.UNSAFE)) {
            FakeHost host = new FakeHost(jobClass).withWorkers(3);
            host.module.request(host.now, 1, 0, 0, 0, 5_000_000, 1, 0, own);
            host.pass(60_000);
            host.ended(1, 0, Outcome.RESET);
            host.pass(1_000_000);
            boolean safe = jobClass == FakeHost.SAFE && own != Effect.UNSAFE;
            assertEquals(safe ? 2 : 1, host.sends(1), own + " in " + jobClass.effect());
            assertEquals(safe ? List.of() : List.of(1L), host.failed);
        }
    }

    @Test
    void aZeroDeadlineIsRefusedAtOnce() {
        FakeHost host = new FakeHost(FakeHost.UNSAFE).withWorkers(1);
        host.module.request(host.now, 1, 0, 0, 0, 0, 1, 0);
        assertEquals(List.of(1L), host.refused);
    }

    @Test
    void aClassThatNoWorkerCanRunIsRefused() {
        var unsupported = new Dispatcher.JobClass(200_000, 2, 5_000_000, 1, 0.5, Effect.SAFE, Group.ALL, 0, 3);
        FakeHost host = new FakeHost(unsupported).withWorkers(2);
        host.request(1, 0);
        host.pass(5_000_000);
        assertEquals(List.of(1L), host.refused);
        assertTrue(host.sent.isEmpty());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void anUnsafeJobThatMayHaveRunFailsAndIsNotSentAgain(Outcome outcome) {
        FakeHost host = new FakeHost(FakeHost.UNSAFE).withWorkers(3);
        host.request(1, 0);
        host.pass(60_000);
        host.ended(1, 0, outcome);
        host.pass(4_000_000);
        assertEquals(1, host.sends(1));
        assertEquals(List.of(1L), host.failed);
        assertTrue(host.refused.isEmpty());
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"REJECTED", "CONNECT_FAILED", "NOT_SENT"})
    void anUnsafeJobThatNeverRanIsTriedElsewhere(Outcome outcome) {
        FakeHost host = new FakeHost(FakeHost.UNSAFE).withWorkers(3);
        host.request(1, 0);
        host.pass(55_000);
        long first = host.lastSend(1).worker();
        host.ended(1, 0, outcome);
        host.pass(60_000);
        assertEquals(2, host.sends(1));
        assertNotEquals(first, host.lastSend(1).worker());
        assertTrue(host.failed.isEmpty() && host.refused.isEmpty());
    }

    @Test
    void anUnsafeJobWithoutResponseIsNeitherCopiedNorRefused() {
        FakeHost host = new FakeHost(FakeHost.UNSAFE).withWorkers(3);
        host.request(1, 0);
        host.pass(4_999_000);
        assertEquals(1, host.sends(1));
        assertTrue(host.failed.isEmpty() && host.refused.isEmpty());
        host.pass(1_000);
        host.ended(1, 0, Outcome.TIMEOUT);
        assertEquals(List.of(1L), host.failed);
    }

    @Test
    void aSafeJobIsRetriedAfterAnError() {
        FakeHost host = new FakeHost(FakeHost.SAFE).withWorkers(3);
        host.request(1, 0);
        host.pass(55_000);
        host.ended(1, 0, Outcome.ERROR);
        host.pass(60_000);
        assertEquals(2, host.sends(1));
    }

    private static FakeHost hostWithTwoZones(Dispatcher.JobClass of, long seed) {
        FakeHost host = new FakeHost(FakeHost.settings(1, List.of(), of), seed);
        host.module.workers(
                host.now,
                ListKind.WHOLE,
                List.of(
                        new Worker(1, 0, 0, 0, WorkerState.READY, 0), new Worker(2, 0, 0, 1, WorkerState.READY, 0),
                        new Worker(3, 0, 1, 2, WorkerState.READY, 0), new Worker(4, 0, 1, 3, WorkerState.READY, 0)));
        return host;
    }

    @Test
    void aKeyedJobThatMayHaveRunStaysInItsZone() {
        for (long seed = 0; seed < 20; seed++) {
            FakeHost host = hostWithTwoZones(FakeHost.KEYED_ZONE, seed);
            host.request(1, 0);
            host.pass(30_000);
            long first = host.lastSend(1).worker();
            host.ended(1, 0, Outcome.RESET);
            host.request(2, 0);
            host.pass(60_000);
            assertEquals(2, host.sends(1));
            assertEquals((first - 1) / 2, (host.lastSend(1).worker() - 1) / 2);
        }
    }

    @Test
    void aKeyedJobOfOneCellIsNotSentToAnother() {
        FakeHost host = hostWithTwoZones(FakeHost.jobClass(Effect.KEYED, Group.CELL, 1, 0), 7);
        host.request(1, 0);
        host.pass(55_000);
        host.ended(1, 0, Outcome.RESET);
        host.pass(4_900_000);
        assertEquals(1, host.sends(1));
        assertEquals(List.of(1L), host.failed);
        assertTrue(host.refused.isEmpty());
    }

    @Test
    void aKeyedJobIsNotSentAgainOnceItsWindowHasPassed() {
        var late = new Dispatcher.JobClass(200_000, 2, 9_000_000, 1, 0.5, Effect.KEYED, Group.ZONE, 3_000_000, -1);
        FakeHost host = hostWithTwoZones(late, 7);
        host.module.request(host.now, 1, 0, 0, 0, 9_000_000, 1, 0);
        host.pass(3_100_000);
        host.ended(1, 0, Outcome.TIMEOUT);
        host.pass(5_880_000);
        assertEquals(1, host.sends(1));
        assertEquals(List.of(1L), host.failed);
    }

    @Test
    void aDrainingWorkerGetsNoNewJobs() {
        FakeHost host = new FakeHost(FakeHost.SAFE).withWorkers(2);
        host.module.workers(host.now, ListKind.CHANGES, List.of(new Worker(1, 0, 0, 0, WorkerState.DRAINING, 0)));
        for (int i = 0; i < 40; i++) {
            host.request(i, 0);
            host.pass(30_000);
        }
        assertTrue(host.sent.size() > 2);
        assertTrue(host.sent.stream().allMatch(s -> s.worker() == 2));
    }

    @Test
    void aWorkerMissingFromAFullListGetsNoNewJobs() {
        FakeHost host = new FakeHost(FakeHost.SAFE).withWorkers(3);
        host.module.workers(host.now, ListKind.CACHED, List.of(FakeHost.worker(3)));
        for (int i = 0; i < 20; i++) {
            host.request(i, 0);
            host.pass(60_000);
        }
        assertTrue(host.sent.size() > 1);
        assertTrue(host.sent.stream().allMatch(s -> s.worker() == 3));
    }

    /** 24 dispatchers with steady demand share one cold worker; their jobs together stay below its limit. */
    @Test
    void manyDispatchersDoNotOverloadAColdWorker() {
        int dispatchers = 24;
        double run = 300_000;
        double slots = 4;
        long[] times = new long[10_000];
        int n = 0;
        for (int d = 0; d < dispatchers; d++) {
            FakeHost host = new FakeHost(FakeHost.settings(dispatchers, List.of(), FakeHost.SAFE), 100 + d);
            host.withWorkers(1);
            for (int i = 0; i < slots; i++) {
                host.request(1_000 + i, 0);
                host.pass(50_000);
                host.started(1_000 + i, 0);
            }
            host.pass((long) run - 100_000);
            host.endAll(Outcome.SERVED);
            host.sent.clear();
            long start = host.now;
            host.module.workers(start, ListKind.CHANGES, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, start)));
            for (int i = 0; i < 250; i++) {
                host.request(2_000 + i, 0);
                host.pass(20_000);
                host.sent.forEach(s -> host.started(s.request(), 0));
            }
            for (FakeHost.Sent s : host.sent) {
                times[n++] = s.at() - start;
            }
        }
        assertTrue(n > 10, "jobs sent to the cold worker: " + n);
        for (int i = 0; i < n; i++) {
            int inWindow = 0;
            for (int j = 0; j < n; j++) {
                inWindow += times[j] >= times[i] && times[j] < times[i] + 1_000_000 ? 1 : 0;
            }
            double part = 0.2 + 0.8 * times[i] / 10_000_000;
            assertTrue(inWindow * run <= 3 * part * slots * 1_000_000, inWindow + " jobs from " + times[i]);
        }
    }

    @Test
    void eventsForFinishedOrUnknownRequestsAreIgnored() {
        FakeHost host = new FakeHost(FakeHost.SAFE).withWorkers(1);
        host.request(1, 0);
        host.pass(60_000);
        host.started(1, 0);
        host.started(1, 0);
        host.ended(1, 0, Outcome.SERVED);
        int before = host.all.size();
        host.ended(1, 0, Outcome.SERVED);
        host.ended(1, 0, Outcome.ERROR);
        host.started(1, 3);
        host.ended(99, 0, Outcome.TIMEOUT);
        host.module.withdrawn(host.now, 1);
        host.module.withdrawn(host.now, 98);
        host.module.timer(host.now);
        assertEquals(before, host.all.size());
    }

    @Test
    void aWithdrawnJobIsCancelledAndNeverAnswered() {
        FakeHost host = new FakeHost(FakeHost.SAFE).withWorkers(1);
        host.request(1, 0);
        host.pass(60_000);
        host.module.withdrawn(host.now, 1);
        assertEquals(List.of("1/0"), host.cancelled);
        host.ended(1, 0, Outcome.CANCELLED);
        host.pass(5_000_000);
        assertEquals(1, host.sends(1));
        assertTrue(host.refused.isEmpty() && host.failed.isEmpty());
    }

    @Test
    void attemptsStayWithinTheLimit() {
        FakeHost host = new FakeHost(FakeHost.jobClass(Effect.SAFE, Group.ALL, 1, 0.5)).withWorkers(9);
        host.request(1, 0);
        for (int i = 0; i < 6 && host.refused.isEmpty(); i++) {
            host.pass(120_000);
            host.ended(1, (int) host.sends(1) - 1, Outcome.CONNECT_FAILED);
        }
        assertEquals(4, host.sends(1));
        assertEquals(List.of(1L), host.refused);
    }

    @Test
    void invalidEventsOfTheHostAreRejected() {
        FakeHost host = new FakeHost(FakeHost.SAFE).withWorkers(1);
        host.request(1, 0);
        assertThrows(IllegalArgumentException.class, () -> host.request(1, 0));
        assertThrows(IllegalArgumentException.class, () -> host.request(2, 7));
        assertThrows(IllegalArgumentException.class, () -> host.module.timer(host.now - 1));
    }

    @Test
    void invalidSettingsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> FakeHost.settings(0, List.of(), FakeHost.SAFE));
        assertThrows(IllegalArgumentException.class, () -> FakeHost.settings(1, List.of()));
        assertThrows(
                IllegalArgumentException.class,
                () -> FakeHost.settings(1, List.of(), FakeHost.jobClass(Effect.SAFE, Group.ALL, 0, 0)));
    }

    @Test
    void aHundredDispatchersUseASingleWorker() {
        for (long seed = 0; seed < 5; seed++) {
            FakeHost host = new FakeHost(FakeHost.settings(100, List.of(), FakeHost.SAFE), seed);
            host.withWorkers(1);
            host.request(1, 0);
            host.pass(60_000);
            assertEquals(1, host.sends(1));
        }
    }

    /** A cold worker that accepts only the most valuable class would be idle while cheaper jobs are refused. */
    @Test
    void aColdWorkerAlsoServesCheaperClasses() {
        FakeHost host = new FakeHost(FakeHost.jobClass(Effect.SAFE, Group.ALL, 12, 0), FakeHost.SAFE);
        host.withWorkers(1);
        host.request(1, 0);
        host.pass(60_000);
        host.endAll(Outcome.CANCELLED);
        host.module.workers(host.now, ListKind.CHANGES, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, host.now)));
        int cheap = 0;
        for (int i = 0; i < 250; i++) {
            host.request(100 + i, 1);
            host.pass(20_000);
            cheap += host.endAll(Outcome.CANCELLED);
        }
        assertTrue(cheap >= 3, cheap + " cheap jobs");
    }
}
