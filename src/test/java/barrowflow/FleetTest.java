package barrowflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import barrowflow.FleetModel.Machine;
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
            assertTrue(fleet.prompt > PROMPT * fleet.offered,
                seed + ": " + fleet.prompt + " prompt of " + fleet.offered);
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
                    could += 4 * 8e6 * (FleetModel.warmth(m.worker, start, settings)
                        + FleetModel.warmth(m.worker, fleet.now, settings)) / 2;
                    assertNeverPushedOver(m, settings);
                }
            }
            assertTrue(sent > USED * could, seed + ": cold workers got " + sent / could);
        }
    }

    private static void assertNeverPushedOver(Machine m, Settings settings) {
        long window = settings.cold().fallWindow();
        for (int from = 0; from < m.arrivals.size(); from++) {
            double work = 0;
            long since = m.arrivals.get(from)[0];
            double limit = settings.cold().fallMultiple() * window * m.slots
                * FleetModel.warmth(m.worker, since, settings);
            for (int i = from; i < m.arrivals.size() && m.arrivals.get(i)[0] <= since + window; i++) {
                work += m.arrivals.get(i)[1];
            }
            assertTrue(work <= limit, "worker " + m.worker + " got " + work + " of " + limit);
        }
    }
}
