package barrowflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import barrowflow.FleetModel.Machine;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What many dispatchers do together, each with little traffic of its own. */
class FleetTest {
    private static final int NODES = 14;
    private static final long JOB = 500_000;

    private static final double PROMPT = 0.96;
    private static final double USED = 0.22;

    private static Settings settings() {
        return FakeHost.settings(NODES, List.of(), FakeHost.SAFE);
    }

    /** Half the workers are quicker; by run time alone they would be filled and the rest left idle. */
    @Test
    void quickerWorkersAreNotFilledWhileOthersIdle() {
        for (long seed = 1; seed <= 3; seed++) {
            FleetModel fleet = new FleetModel(seed);
            for (long id = 1; id <= 60; id++) {
                fleet.machine(FakeHost.worker(id), 4, id % 2 == 0 ? 1 : 0.8);
            }
            fleet.nodes(NODES, settings());
            fleet.traffic(0, 0.6 * 60 * 4 * 0.9 / (JOB / 1e6), JOB, 12_000_000);
            fleet.run(14_000_000);
            assertTrue(
                    fleet.prompt > PROMPT * fleet.offered, seed + ": " + fleet.prompt + " prompt of " + fleet.offered);
        }
    }

    /** A node sees a job long after it drew one for a cold worker; drawn for a moment, it was never sent. */
    @Test
    void coldWorkersAreUsedByNodesWithFewJobsAndNeverPushedOver() {
        Settings settings = settings();
        for (long seed = 1; seed <= 3; seed++) {
            FleetModel fleet = new FleetModel(seed);
            for (long id = 1; id <= 60; id++) {
                fleet.machine(new Worker(id, 0, 0, 0, WorkerState.READY, id <= 24 ? 0 : fleet.now), 4, 1);
            }
            fleet.nodes(NODES, settings);
            fleet.traffic(0, 90 / (JOB / 1e6), JOB, 8_000_000);
            long start = fleet.now;
            fleet.run(8_000_000);
            double could = 0;
            double sent = 0;
            for (Machine m : fleet.machines.values()) {
                if (m.worker.startedAt() > 0) {
                    sent += m.arrivals.stream().mapToDouble(a -> a[1]).sum();
                    could += 4
                            * 8e6
                            * (FleetModel.warmth(m.worker, start, settings)
                                    + FleetModel.warmth(m.worker, fleet.now, settings))
                            / 2;
                    assertNeverPushedOver(m, settings);
                }
            }
            assertTrue(sent > USED * could, seed + ": cold workers got " + sent / could);
        }
    }

    private static Settings telling(int dispatchers, Dispatcher.Objective goal, boolean peers, JobClass... of) {
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
                goal,
                new Dispatcher.LoadSources(peers, 0.008, false, 0, false));
    }

    /**
     * Long jobs, few slots: what others have at a worker is known too late from own queues, and a cold worker
     * is left half idle by those who can't know who else sends there. With both told, more is done in time,
     * and no cold worker is ever pushed over, though messages are late and some are lost.
     */
    @Test
    void dispatchersThatTellEachOtherServeMoreAndPushNoColdWorkerOver() {
        JobClass job = new JobClass(
                100_000, 2, 10_000_000, 1, 0, Dispatcher.Effect.KEYED, Dispatcher.Group.ALL, 15_000_000, -1);
        int[] prompt = new int[2];
        int offered = 0;
        for (int told = 0; told <= 1; told++) {
            for (long seed = 1; seed <= 4; seed++) {
                Settings settings = telling(3, Dispatcher.Objective.DEFAULT, told == 1, job);
                FleetModel fleet = new FleetModel(seed);
                for (long id = 1; id <= 12; id++) {
                    long start = id <= 8 ? 0 : fleet.now;
                    fleet.machine(new Worker(id, 0, 0, 0, WorkerState.READY, start), 5, id % 2 == 0 ? 1 : 0.7);
                }
                fleet.nodes(3, settings);
                fleet.traffic(0, 1.2 * 8 * 5 * 0.85, 1_000_000, 20_000_000);
                fleet.run(24_000_000);
                prompt[told] += fleet.prompt;
                offered = fleet.offered;
                for (Machine m : fleet.machines.values()) {
                    if (m.worker.startedAt() > 0) {
                        assertNeverPushedOver(m, settings);
                    }
                }
                assertTrue(told == 0 ? fleet.told == 0 : fleet.told > 3_000, "bytes " + fleet.told);
            }
        }
        assertTrue(prompt[1] > prompt[0] * 1.03, prompt[1] + " told, " + prompt[0] + " untold of about " + 4 * offered);
    }

    /**
     * Half a minute of a fleet of which a machine hangs at all times; gives the parts in time and run in
     * vain.
     */
    private static double[] hanging(long seed, boolean copies, int stopsFrom, int stopsTo) {
        JobClass job = new JobClass(100_000, 2, 5_000_000, 1, 0, Dispatcher.Effect.SAFE, Dispatcher.Group.ALL, 0, -1);
        FleetModel fleet = new FleetModel(seed);
        for (long id = 1; id <= 13; id++) {
            fleet.machine(FakeHost.worker(id), 4, id % 2 == 0 ? 0.8 : 1);
        }
        fleet.nodes(
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
        fleet.traffic(0, 13 * 4 * 0.5 / 0.4, 400_000, 30_000_000);
        fleet.hangs(700_000, 30_000_000);
        for (int half = 0; half < 2; half++) {
            fleet.cancelStops = half >= stopsFrom && half < stopsTo;
            fleet.run(16_000_000);
        }
        return new double[] {1.0 * fleet.prompt / fleet.offered, fleet.wasted / 400_000.0 / fleet.offered};
    }

    /**
     * Nothing tells whether a cancel stops work. Copies must gain where it does, as early ones would (0.025),
     * and where it does not, or does for half of the time, cost no more than a hundredth of all worth against
     * none, with what ran in vain priced at a quarter. Early ones would cost 0.05 and 0.08 there.
     */
    @Test
    void copiesPayWhetherACancelStopsWorkOrNotOrChanges() {
        for (int[] stops : new int[][] {{0, 2}, {2, 2}, {0, 1}, {1, 2}}) {
            double gain = 0;
            double wasted = 0;
            for (long seed = 1; seed <= 4; seed++) {
                double[] with = hanging(seed, true, stops[0], stops[1]);
                gain += (with[0] - hanging(seed, false, stops[0], stops[1])[0]) / 4;
                wasted += with[1] / 4;
            }
            String seen = "halves " + stops[0] + " to " + stops[1] + " stop: gain " + gain + ", wasted " + wasted;
            assertTrue(gain > 0.0125, seen);
            assertTrue(gain - 0.25 * wasted > -0.01, seen);
        }
    }

    /** By the slot-second the longer job looks dear; counted by work, and by the worst class, it is not. */
    @Test
    void theClassServedWorstIsServedAsTheGoalCountsIt() {
        JobClass small =
                new JobClass(100_000, 2, 10_000_000, 5, 0, Dispatcher.Effect.SAFE, Dispatcher.Group.ALL, 0, -1);
        JobClass large =
                new JobClass(100_000, 2, 20_000_000, 3, 0, Dispatcher.Effect.UNSAFE, Dispatcher.Group.ALL, 0, -1);
        double[][] served = new double[2][];
        for (int counted = 0; counted <= 1; counted++) {
            FleetModel fleet = new FleetModel(7);
            for (long id = 1; id <= 8; id++) {
                fleet.machine(FakeHost.worker(id), 5, 1);
            }
            fleet.nodes(
                    2,
                    telling(
                            2,
                            counted == 0 ? Dispatcher.Objective.DEFAULT : new Dispatcher.Objective(0.4, 0.4, true),
                            true,
                            small,
                            large));
            fleet.traffic(0, 30, 800_000, 30_000_000);
            fleet.traffic(1, 16, 1_800_000, 30_000_000);
            fleet.run(35_000_000);
            served[counted] = new double[] {
                1.0 * fleet.promptOf[0] / fleet.offeredOf[0], 1.0 * fleet.promptOf[1] / fleet.offeredOf[1]
            };
        }
        String seen = Arrays.deepToString(served);
        assertTrue(served[0][0] - served[0][1] > 0.3, "untold, the shorter ones take all: " + seen);
        assertTrue(Math.abs(served[1][0] - served[1][1]) < 0.15, "told, both are served alike: " + seen);
    }

    private static void assertNeverPushedOver(Machine m, Settings settings) {
        long window = settings.coldStart().overloadWindow();
        for (int from = 0; from < m.arrivals.size(); from++) {
            double work = 0;
            long since = m.arrivals.get(from)[0];
            double limit = settings.coldStart().overloadFactor()
                    * window
                    * m.slots
                    * FleetModel.warmth(m.worker, since, settings);
            for (int i = from; i < m.arrivals.size() && m.arrivals.get(i)[0] <= since + window; i++) {
                work += m.arrivals.get(i)[1];
            }
            assertTrue(work <= limit, "worker " + m.worker + " got " + work + " of " + limit);
        }
    }
}
