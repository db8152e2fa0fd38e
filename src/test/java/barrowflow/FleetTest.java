package barrowflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import barrowflow.FleetSimulation.Machine;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the combined behaviour of many dispatchers, each with little traffic of its own. */
class FleetTest {
    private static final int NODES = 14;
    private static final long MEAN_WORK_MICROS = 500_000;

    /** Least fraction of jobs served in time. */
    private static final double MIN_IN_TIME = 0.96;
    /** Least fraction of the capacity of cold workers that is used. */
    private static final double MIN_COLD_USE = 0.22;

    private static Settings settings() {
        return FakeHost.settings(NODES, List.of(), FakeHost.SAFE);
    }

    /** Half of the workers are faster. Chosen by run time alone, they would be full and the others idle. */
    @Test
    void fasterWorkersAreNotFilledWhileOthersAreIdle() {
        for (long seed = 1; seed <= 3; seed++) {
            FleetSimulation fleet = new FleetSimulation(seed);
            for (long id = 1; id <= 60; id++) {
                fleet.addMachine(FakeHost.worker(id), 4, id % 2 == 0 ? 1 : 0.8);
            }
            fleet.addNodes(NODES, settings());
            fleet.uniformTraffic(0, 0.6 * 60 * 4 * 0.9 / (MEAN_WORK_MICROS / 1e6), MEAN_WORK_MICROS, 12_000_000);
            fleet.run(14_000_000);
            assertTrue(
                    fleet.inTime > MIN_IN_TIME * fleet.offered,
                    seed + ": " + fleet.inTime + " in time of " + fleet.offered);
        }
    }

    /**
     * A node with few jobs gets one long after it was granted a job for a cold worker. When the grant was valid
     * for a moment only, cold workers got no jobs.
     */
    @Test
    void nodesWithFewJobsUseColdWorkersWithoutOverload() {
        Settings settings = settings();
        for (long seed = 1; seed <= 3; seed++) {
            FleetSimulation fleet = new FleetSimulation(seed);
            for (long id = 1; id <= 60; id++) {
                fleet.addMachine(new Worker(id, 0, 0, 0, WorkerState.READY, id <= 24 ? 0 : fleet.now), 4, 1);
            }
            fleet.addNodes(NODES, settings);
            fleet.uniformTraffic(0, 90 / (MEAN_WORK_MICROS / 1e6), MEAN_WORK_MICROS, 8_000_000);
            long start = fleet.now;
            fleet.run(8_000_000);
            double capacity = 0;
            double sent = 0;
            for (Machine m : fleet.machines.values()) {
                if (m.worker.startedAt() > 0) {
                    sent += m.arrivals.stream().mapToDouble(a -> a[1]).sum();
                    capacity += 4
                            * 8e6
                            * (FleetSimulation.capacityFraction(m.worker, start, settings)
                                    + FleetSimulation.capacityFraction(m.worker, fleet.now, settings))
                            / 2;
                    assertNeverOverloaded(m, settings);
                }
            }
            assertTrue(sent > MIN_COLD_USE * capacity, seed + ": cold workers got " + sent / capacity);
        }
    }

    private static Settings settingsWithPeers(
            int dispatchers, Dispatcher.Objective objective, boolean peers, JobClass... of) {
        return new Settings(
                dispatchers,
                0,
                List.of(of),
                List.of(),
                1,
                new Cold(0.15, 24_000_000, 2.5, 3_000_000),
                4,
                false,
                2_000_000,
                false,
                true,
                0,
                false,
                objective,
                new Dispatcher.LoadSources(peers, 0.008, false, 0, false));
    }

    /**
     * Long jobs and few slots: from its own queues alone, a dispatcher learns too late what others run at a
     * worker, and it leaves a cold worker half idle because it can't know who else sends there. With peer
     * messages, more jobs end in time and no cold worker is overloaded, though messages are late or lost.
     */
    @Test
    void peerMessagesIncreaseServiceWithoutOverloadingColdWorkers() {
        JobClass job = new JobClass(
                100_000, 2, 10_000_000, 1, 0, Dispatcher.Effect.KEYED, Dispatcher.Group.ALL, 15_000_000, -1);
        int[] inTime = new int[2];
        int offered = 0;
        for (int peers = 0; peers <= 1; peers++) {
            for (long seed = 1; seed <= 4; seed++) {
                Settings settings = settingsWithPeers(3, Dispatcher.Objective.DEFAULT, peers == 1, job);
                FleetSimulation fleet = new FleetSimulation(seed);
                for (long id = 1; id <= 12; id++) {
                    long start = id <= 8 ? 0 : fleet.now;
                    fleet.addMachine(new Worker(id, 0, 0, 0, WorkerState.READY, start), 5, id % 2 == 0 ? 1 : 0.7);
                }
                fleet.addNodes(3, settings);
                fleet.uniformTraffic(0, 1.2 * 8 * 5 * 0.85, 1_000_000, 20_000_000);
                fleet.run(24_000_000);
                inTime[peers] += fleet.inTime;
                offered = fleet.offered;
                for (Machine m : fleet.machines.values()) {
                    if (m.worker.startedAt() > 0) {
                        assertNeverOverloaded(m, settings);
                    }
                }
                assertTrue(peers == 0 ? fleet.peerBytes == 0 : fleet.peerBytes > 3_000, "bytes " + fleet.peerBytes);
            }
        }
        assertTrue(
                inTime[1] > inTime[0] * 1.03,
                inTime[1] + " with messages, " + inTime[0] + " without, of about " + 4 * offered);
    }

    /**
     * Simulates half a minute of a fleet in which one worker hangs at any time; returns the fraction of jobs in
     * time and the wasted work per job.
     */
    private static double[] runWithHangingWorkers(long seed, boolean copies, int stopsFrom, int stopsTo) {
        JobClass job = new JobClass(100_000, 2, 5_000_000, 1, 0, Dispatcher.Effect.SAFE, Dispatcher.Group.ALL, 0, -1);
        FleetSimulation fleet = new FleetSimulation(seed);
        for (long id = 1; id <= 13; id++) {
            fleet.addMachine(FakeHost.worker(id), 4, id % 2 == 0 ? 0.8 : 1);
        }
        fleet.addNodes(
                3,
                new Settings(
                        3,
                        0,
                        List.of(job),
                        List.of(),
                        1,
                        new Cold(0.15, 24_000_000, 2.5, 3_000_000),
                        4,
                        true,
                        2_000_000,
                        false,
                        true,
                        0,
                        copies));
        fleet.uniformTraffic(0, 13 * 4 * 0.5 / 0.4, 400_000, 30_000_000);
        fleet.hangInTurn(700_000, 30_000_000);
        for (int half = 0; half < 2; half++) {
            fleet.cancelStops = half >= stopsFrom && half < stopsTo;
            fleet.run(16_000_000);
        }
        return new double[] {1.0 * fleet.inTime / fleet.offered, fleet.wastedMicros / 400_000.0 / fleet.offered};
    }

    /**
     * A dispatcher can't know whether cancelling stops the work. If it does, copies must bring a gain (early
     * copies bring 0.025). If it does not, or only half of the time, they may cost at most a hundredth of the
     * total value compared with no copies, with wasted work priced at a quarter; early copies cost 0.05 and
     * 0.08 there.
     */
    @Test
    void copiesBringAGainWhetherOrNotCancellingStopsWork() {
        for (int[] stops : new int[][] {{0, 2}, {2, 2}, {0, 1}, {1, 2}}) {
            double gain = 0;
            double wasted = 0;
            for (long seed = 1; seed <= 4; seed++) {
                double[] with = runWithHangingWorkers(seed, true, stops[0], stops[1]);
                gain += (with[0] - runWithHangingWorkers(seed, false, stops[0], stops[1])[0]) / 4;
                wasted += with[1] / 4;
            }
            String figures = "halves " + stops[0] + " to " + stops[1] + " stop: gain " + gain + ", wasted " + wasted;
            assertTrue(gain > 0.0125, figures);
            assertTrue(gain - 0.25 * wasted > -0.01, figures);
        }
    }

    /**
     * Per slot and second the longer job earns less. It must be served equally if the objective counts value by work
     * and includes the worst-served class.
     */
    @Test
    void theObjectiveDecidesHowTheWorstServedClassIsServed() {
        JobClass small =
                new JobClass(100_000, 2, 10_000_000, 5, 0, Dispatcher.Effect.SAFE, Dispatcher.Group.ALL, 0, -1);
        JobClass large =
                new JobClass(100_000, 2, 20_000_000, 3, 0, Dispatcher.Effect.UNSAFE, Dispatcher.Group.ALL, 0, -1);
        double[][] served = new double[2][];
        for (int withObjective = 0; withObjective <= 1; withObjective++) {
            FleetSimulation fleet = new FleetSimulation(7);
            for (long id = 1; id <= 8; id++) {
                fleet.addMachine(FakeHost.worker(id), 5, 1);
            }
            fleet.addNodes(
                    2,
                    settingsWithPeers(
                            2,
                            withObjective == 0
                                    ? Dispatcher.Objective.DEFAULT
                                    : new Dispatcher.Objective(0.4, 0.4, true),
                            true,
                            small,
                            large));
            fleet.uniformTraffic(0, 30, 800_000, 30_000_000);
            fleet.uniformTraffic(1, 16, 1_800_000, 30_000_000);
            fleet.run(35_000_000);
            served[withObjective] = new double[] {
                1.0 * fleet.inTimeByClass[0] / fleet.offeredByClass[0],
                1.0 * fleet.inTimeByClass[1] / fleet.offeredByClass[1]
            };
        }
        String figures = Arrays.deepToString(served);
        assertTrue(
                served[0][0] - served[0][1] > 0.3,
                "with the default objective the shorter jobs take all slots: " + figures);
        assertTrue(
                Math.abs(served[1][0] - served[1][1]) < 0.15,
                "with the other objective both classes are served equally: " + figures);
    }

    private static void assertNeverOverloaded(Machine m, Settings settings) {
        long window = settings.coldStart().overloadWindow();
        for (int from = 0; from < m.arrivals.size(); from++) {
            double work = 0;
            long since = m.arrivals.get(from)[0];
            double limit = settings.coldStart().overloadFactor()
                    * window
                    * m.slots
                    * FleetSimulation.capacityFraction(m.worker, since, settings);
            for (int i = from; i < m.arrivals.size() && m.arrivals.get(i)[0] <= since + window; i++) {
                work += m.arrivals.get(i)[1];
            }
            assertTrue(work <= limit, "worker " + m.worker + " got " + work + " of " + limit);
        }
    }
}
