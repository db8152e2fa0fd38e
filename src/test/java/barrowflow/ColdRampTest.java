package barrowflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.LoadSources;
import barrowflow.Dispatcher.Objective;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that all dispatchers together do not overload workers that have just started, during a burst of jobs.
 * The settings allow N requests of mean work in the window; for random variation the test allows twice the
 * square root of N plus two more.
 */
class ColdRampTest {
    private static final int WARM = 12;
    private static final int COLD = 4;
    private static final long BURST_MICROS = 4_000_000;
    /** Load relative to the capacity of the warm workers, before the burst. */
    private static final double BASE_LOAD = 0.6;

    /** Load relative to the capacity of the warm workers, during the burst. */
    private static final double BURST_LOAD = 2;
    /** Speed of cold workers relative to the others: a slower kind with more slots than cores. */
    private static final double COLD_SPEED_RATIO = 0.5;
    /** Duration of the traffic before the burst that is too short for any job to end. */
    private static final long SHORT_HISTORY_MICROS = 300_000;

    /** Duration of the traffic before the burst that is long enough for some jobs to end. */
    private static final long LONG_HISTORY_MICROS = 4_000_000;

    private static final int SEEDS = Integer.getInteger("seeds", 2);

    /** True work of a job class, in microseconds; the dispatcher's settings contain only its target latency. */
    private record Work(
            double mean,
            double cv,
            long aim,
            double stretch,
            long deadline,
            double worth,
            Effect effect,
            double jobFraction) {}

    private record Workload(
            String name, Cold cold, int slots, double speed, int attempts, boolean copies, List<Work> works) {
        double meanWork() {
            return works.stream().mapToDouble(w -> w.mean * w.jobFraction).sum();
        }

        Settings settings(int dispatchers, boolean peerMessages) {
            List<JobClass> classes = new ArrayList<>();
            for (Work w : works) {
                classes.add(new JobClass(w.aim, w.stretch, w.deadline, w.worth, 0, w.effect, Group.ALL, 5_000_000, -1));
            }
            return new Settings(
                    dispatchers,
                    0,
                    classes,
                    List.of(),
                    0.1,
                    cold,
                    attempts,
                    true,
                    2_000_000,
                    true,
                    true,
                    0,
                    copies,
                    new Objective(0.7, 0.2, false),
                    new LoadSources(peerMessages, 0, false, 0, false));
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static final Workload BRIEF_JOBS = new Workload(
            "jobs of tenths of a second",
            new Cold(0.13, 24_000_000, 4, 2_000_000),
            5,
            0.7,
            5,
            true,
            List.of(
                    new Work(120_000, 0.5, 60_000, 2.5, 5_000_000, 5, Effect.SAFE, 0.3),
                    new Work(500_000, 0.4, 400_000, 2, 6_000_000, 2, Effect.SAFE, 0.3),
                    new Work(500_000, 0.4, 150_000, 2.5, 6_000_000, 5, Effect.UNSAFE, 0.24),
                    new Work(500_000, 0.5, 250_000, 2, 6_000_000, 3, Effect.KEYED, 0.16)));
    private static final Workload LONG_JOBS = new Workload(
            "jobs of seconds",
            new Cold(0.15, 23_000_000, 3, 2_000_000),
            4,
            1,
            5,
            true,
            List.of(
                    new Work(800_000, 2, 600_000, 2, 10_000_000, 1, Effect.SAFE, 0.37),
                    new Work(5_000_000, 2.2, 1_500_000, 2, 25_000_000, 2, Effect.SAFE, 0.36),
                    new Work(3_400_000, 2, 2_500_000, 2, 25_000_000, 3, Effect.KEYED, 0.27)));
    private static final Workload MIXED_JOBS = new Workload(
            "jobs of a second or two",
            new Cold(0.15, 24_000_000, 2.5, 3_000_000),
            6,
            1,
            2,
            false,
            List.of(
                    new Work(900_000, 0.5, 750_000, 2, 10_000_000, 5, Effect.KEYED, 0.65),
                    new Work(1_800_000, 0.5, 500_000, 2, 20_000_000, 3, Effect.UNSAFE, 0.35)));

    static Stream<Workload> workloads() {
        return Stream.of(BRIEF_JOBS, LONG_JOBS, MIXED_JOBS);
    }

    private record Peak(double reached, double allowed) {
        Peak max(Peak other) {
            return other.reached / other.allowed > reached / allowed ? other : this;
        }
    }

    /**
     * Parameters of one simulated run.
     *
     * @param peerMessages whether the dispatchers exchange messages
     * @param returning whether the cold workers were listed before, so that each dispatcher reserves them a job
     * @param historyMicros duration of the traffic before the cold workers start
     * @param expensiveOnly whether the burst consists only of the class with the most work
     */
    private record RunSetup(
            Workload workload,
            int dispatchers,
            boolean peerMessages,
            boolean returning,
            long historyMicros,
            boolean expensiveOnly) {
        /** Fraction of the jobs in the burst that belong to the class. */
        double jobFraction(Work work) {
            double most = workload.works.stream().mapToDouble(w -> w.mean).max().orElseThrow();
            return !expensiveOnly ? work.jobFraction : work.mean == most ? 1 : 0;
        }
    }

    private static Worker worker(long id, WorkerState state, long startedAt) {
        return new Worker(id, 0, 0, 0, state, startedAt);
    }

    /** Returns the largest ratio of work received in a window to work allowed, over all cold workers. */
    private static Peak peak(RunSetup setup, long seed) {
        Workload workload = setup.workload;
        Settings settings = workload.settings(setup.dispatchers, setup.peerMessages);
        FleetSimulation fleet = new FleetSimulation(seed);
        for (long id = 1; id <= WARM; id++) {
            fleet.addMachine(worker(id, WorkerState.READY, 0), workload.slots, workload.speed);
        }
        fleet.addNodes(setup.dispatchers, settings);
        scheduleTraffic(fleet, setup);
        long first = setup.returning ? 1 : WARM + 1;
        long start = fleet.now + setup.historyMicros;
        for (long id = first; id < first + COLD; id++) {
            long workerId = id;
            if (setup.returning) {
                fleet.schedule(
                        start - setup.historyMicros / 2,
                        () -> fleet.announceWorker(
                                worker(workerId, WorkerState.GONE, 0), workload.slots, workload.speed));
            }
            fleet.schedule(
                    start,
                    () -> fleet.announceWorker(
                            worker(workerId, WorkerState.READY, start),
                            workload.slots,
                            workload.speed * COLD_SPEED_RATIO));
        }
        fleet.run(setup.historyMicros + BURST_MICROS);
        Peak worst = new Peak(0, 1);
        for (long id = first; id < first + COLD; id++) {
            worst = worst.max(peakOf(workload, settings, fleet.machines.get(id)));
        }
        return worst;
    }

    private static void scheduleTraffic(FleetSimulation fleet, RunSetup setup) {
        Workload workload = setup.workload;
        double capacity = WARM * workload.slots * workload.speed * 1e6;
        double burst = workload.works.stream()
                .mapToDouble(w -> w.mean * setup.jobFraction(w))
                .sum();
        for (int c = 0; c < workload.works.size(); c++) {
            Work w = workload.works.get(c);
            fleet.lognormalTraffic(
                    c,
                    capacity / workload.meanWork() * BASE_LOAD * w.jobFraction,
                    w.mean,
                    w.cv,
                    0,
                    setup.historyMicros);
            if (setup.jobFraction(w) > 0) {
                double perSecond = capacity / burst * BURST_LOAD * setup.jobFraction(w);
                fleet.lognormalTraffic(c, perSecond, w.mean, w.cv, setup.historyMicros, BURST_MICROS);
            }
        }
    }

    private static Peak peakOf(Workload workload, Settings settings, FleetSimulation.Machine m) {
        Peak worst = new Peak(0, 1);
        for (int last = 0; last < m.arrivals.size(); last++) {
            long end = m.arrivals.get(last)[0];
            double work = 0;
            for (int i = last; i >= 0 && m.arrivals.get(i)[0] > end - workload.cold.overloadWindow(); i--) {
                // The mean of the class: no dispatcher can know how far a job deviates from it.
                work += workload.works.get((int) m.arrivals.get(i)[2]).mean;
            }
            double capacity = FleetSimulation.capacityFraction(m.worker, end, settings) * m.slots * m.speed;
            double n = workload.cold.overloadFactor() * capacity * workload.cold.overloadWindow() / workload.meanWork();
            double allowed = n + 2 * Math.sqrt(n) + 2;
            double reached = work / workload.meanWork();
            worst = worst.max(new Peak(reached, allowed));
        }
        return worst;
    }

    private static void assertNoOverload(RunSetup setup, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            Peak peak = peak(setup, seed);
            assertTrue(peak.reached <= peak.allowed, peak + ", seed " + seed + ", " + setup);
        }
    }

    @ParameterizedTest
    @MethodSource("workloads")
    void dozensOfDispatchersDoNotOverloadColdWorkers(Workload workload) {
        for (int dispatchers : new int[] {2, 5, 20, 30}) {
            for (int choice = 0; choice < 16; choice++) {
                assertNoOverload(
                        new RunSetup(
                                workload,
                                dispatchers,
                                (choice & 1) > 0,
                                (choice & 2) > 0,
                                (choice & 4) > 0 ? LONG_HISTORY_MICROS : SHORT_HISTORY_MICROS,
                                (choice & 8) > 0),
                        SEEDS);
            }
        }
    }

    /** Without peer messages: in the simulation each message costs as much computing time as a job. */
    @ParameterizedTest
    @MethodSource("workloads")
    void hundredsOfDispatchersWithoutMessagesDoNotOverloadColdWorkers(Workload workload) {
        for (int dispatchers : new int[] {100, 200}) {
            for (boolean returning : new boolean[] {false, true}) {
                assertNoOverload(new RunSetup(workload, dispatchers, false, returning, LONG_HISTORY_MICROS, false), 1);
            }
        }
    }

    /**
     * Short jobs end first, so the run time learned from the first few jobs of a class is far too low. Each
     * dispatcher would then reserve a returning worker a job of several seconds, and grant it more of them.
     */
    @Test
    void aFewShortJobsDoNotMakeAClassCountAsCheap() {
        for (int dispatchers : new int[] {5, 20}) {
            assertNoOverload(new RunSetup(LONG_JOBS, dispatchers, false, true, LONG_HISTORY_MICROS, false), 60);
        }
    }
}
