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
 * What all dispatchers together send to workers that have just started, under a burst in which every job is
 * offered, against what the settings allow: N requests of mean work in the window, and for chance twice the
 * root of N and two more.
 */
class ColdRampTest {
    private static final int WARM = 12;
    private static final int COLD = 4;
    private static final long BURST = 4_000_000;
    /** Traffic over what the warm workers can do, before the burst and in it. */
    private static final double USUAL = 0.6;

    private static final double IN_BURST = 2;
    /** Cold workers' speed over the others': of a slower kind, with more slots than cores. */
    private static final double SLOWER = 0.5;
    /** How long there was traffic before: too short for any job to end, and long enough for some. */
    private static final long UNLEARNED = 300_000;

    private static final long LEARNED = 4_000_000;
    private static final int SEEDS = Integer.getInteger("seeds", 2);

    /** A class's true work, of which a dispatcher is told nothing but the aim. */
    private record Work(
            double mean,
            double cv,
            long aim,
            double stretch,
            long deadline,
            double worth,
            Effect effect,
            double part) {}

    private record Site(
            String name, Cold cold, int slots, double speed, int attempts, boolean copies, List<Work> works) {
        double meanWork() {
            return works.stream().mapToDouble(w -> w.mean * w.part).sum();
        }

        Settings settings(int dispatchers, boolean hear) {
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
                    new LoadSources(hear, 0, false, 0, false));
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static final Site BRIEF_JOBS = new Site(
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
    private static final Site LONG_JOBS = new Site(
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
    private static final Site MIXED_JOBS = new Site(
            "jobs of a second or two",
            new Cold(0.15, 24_000_000, 2.5, 3_000_000),
            6,
            1,
            2,
            false,
            List.of(
                    new Work(900_000, 0.5, 750_000, 2, 10_000_000, 5, Effect.KEYED, 0.65),
                    new Work(1_800_000, 0.5, 500_000, 2, 20_000_000, 3, Effect.UNSAFE, 0.35)));

    static Stream<Site> sites() {
        return Stream.of(BRIEF_JOBS, LONG_JOBS, MIXED_JOBS);
    }

    private record Peak(double reached, double allowed) {
        Peak or(Peak other) {
            return other.reached / other.allowed > reached / allowed ? other : this;
        }
    }

    /**
     * The stage of a run.
     *
     * @param hear whether the dispatchers hear each other
     * @param back whether the cold workers were there before, so that each dispatcher owes them a job
     * @param before how long there is traffic before they start, microseconds
     * @param dear whether the burst is of the dearest class alone
     */
    private record Stage(Site site, int dispatchers, boolean hear, boolean back, long before, boolean dear) {
        /** Of all jobs in the burst, the part that the class has. */
        double part(Work work) {
            double most = site.works.stream().mapToDouble(w -> w.mean).max().orElseThrow();
            return !dear ? work.part : work.mean == most ? 1 : 0;
        }
    }

    private static Worker worker(long id, WorkerState state, long startedAt) {
        return new Worker(id, 0, 0, 0, state, startedAt);
    }

    /** The worst of the cold workers: what one got within a window over what it may get then. */
    private static Peak peak(Stage stage, long seed) {
        Site site = stage.site;
        Settings settings = site.settings(stage.dispatchers, stage.hear);
        FleetModel fleet = new FleetModel(seed);
        for (long id = 1; id <= WARM; id++) {
            fleet.machine(worker(id, WorkerState.READY, 0), site.slots, site.speed);
        }
        fleet.nodes(stage.dispatchers, settings);
        traffic(fleet, stage);
        long first = stage.back ? 1 : WARM + 1;
        long start = fleet.now + stage.before;
        for (long id = first; id < first + COLD; id++) {
            long its = id;
            if (stage.back) {
                fleet.at(
                        start - stage.before / 2,
                        () -> fleet.join(worker(its, WorkerState.GONE, 0), site.slots, site.speed));
            }
            fleet.at(start, () -> fleet.join(worker(its, WorkerState.READY, start), site.slots, site.speed * SLOWER));
        }
        fleet.run(stage.before + BURST);
        Peak worst = new Peak(0, 1);
        for (long id = first; id < first + COLD; id++) {
            worst = worst.or(peakOf(site, settings, fleet.machines.get(id)));
        }
        return worst;
    }

    private static void traffic(FleetModel fleet, Stage stage) {
        Site site = stage.site;
        double capacity = WARM * site.slots * site.speed * 1e6;
        double burst =
                site.works.stream().mapToDouble(w -> w.mean * stage.part(w)).sum();
        for (int c = 0; c < site.works.size(); c++) {
            Work w = site.works.get(c);
            fleet.spread(c, capacity / site.meanWork() * USUAL * w.part, w.mean, w.cv, 0, stage.before);
            if (stage.part(w) > 0) {
                double perSecond = capacity / burst * IN_BURST * stage.part(w);
                fleet.spread(c, perSecond, w.mean, w.cv, stage.before, BURST);
            }
        }
    }

    private static Peak peakOf(Site site, Settings settings, FleetModel.Machine m) {
        Peak worst = new Peak(0, 1);
        for (int last = 0; last < m.arrivals.size(); last++) {
            long end = m.arrivals.get(last)[0];
            double work = 0;
            for (int i = last; i >= 0 && m.arrivals.get(i)[0] > end - site.cold.overloadWindow(); i--) {
                // What a job takes beyond its class's mean no dispatcher can know.
                work += site.works.get((int) m.arrivals.get(i)[2]).mean;
            }
            double capacity = FleetModel.warmth(m.worker, end, settings) * m.slots * m.speed;
            double n = site.cold.overloadFactor() * capacity * site.cold.overloadWindow() / site.meanWork();
            double allowed = n + 2 * Math.sqrt(n) + 2;
            double reached = work / site.meanWork();
            worst = worst.or(new Peak(reached, allowed));
        }
        return worst;
    }

    private static void assertNoneFalls(Stage stage, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            Peak peak = peak(stage, seed);
            assertTrue(peak.reached <= peak.allowed, peak + ", seed " + seed + ", " + stage);
        }
    }

    @ParameterizedTest
    @MethodSource("sites")
    void aFewOrSomeDispatchersTogetherLeaveColdWorkersStanding(Site site) {
        for (int dispatchers : new int[] {2, 5, 20, 30}) {
            for (int choice = 0; choice < 16; choice++) {
                assertNoneFalls(
                        new Stage(
                                site,
                                dispatchers,
                                (choice & 1) > 0,
                                (choice & 2) > 0,
                                (choice & 4) > 0 ? LEARNED : UNLEARNED,
                                (choice & 8) > 0),
                        SEEDS);
            }
        }
    }

    /** Hearing each other is left out: in a model each message costs as much as a job. */
    @ParameterizedTest
    @MethodSource("sites")
    void hundredsOfDispatchersThatHearNobodyDoSo(Site site) {
        for (int dispatchers : new int[] {100, 200}) {
            for (boolean back : new boolean[] {false, true}) {
                assertNoneFalls(new Stage(site, dispatchers, false, back, LEARNED, false), 1);
            }
        }
    }

    /**
     * Short jobs end first, and what is learned of a class by the first few of them is far too little.
     * Danger: each dispatcher would owe a worker that came back a job of seconds, and draw more of them.
     */
    @Test
    void aClassKnownByAFewShortJobsIsNotTakenForACheapOne() {
        for (int dispatchers : new int[] {5, 20}) {
            assertNoneFalls(new Stage(LONG_JOBS, dispatchers, false, true, LEARNED, false), 60);
        }
    }
}
