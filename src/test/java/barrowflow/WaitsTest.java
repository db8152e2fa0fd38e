package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Tests the estimate of wait times against a known distribution, also if most observations are censored. */
class WaitsTest {
    @Property(tries = 60, seed = "7")
    void theTailProbabilityMatchesTheDistribution(
            @ForAll @DoubleRange(min = 20_000, max = 2_000_000) double mean,
            @ForAll @DoubleRange(min = 0.3, max = 3) double observedMeans) {
        SplittableRandom random = new SplittableRandom((long) mean);
        StartDelayEstimator estimator = new StartDelayEstimator();
        for (int i = 0; i < 4_000; i++) {
            double wait = -mean * Math.log(1 - random.nextDouble());
            double observed = mean * observedMeans * (0.5 + random.nextDouble());
            estimator.observe(Math.min(wait, observed), wait <= observed);
        }
        for (double fraction : new double[] {0.1, 0.3 * observedMeans, 0.45 * observedMeans}) {
            assertEquals(
                    Math.exp(-fraction),
                    estimator.probabilityNotStarted(0, fraction * mean),
                    0.13,
                    "mean " + mean + " fraction " + fraction);
        }
        assertTrue(
                estimator.probabilityNotStarted(0.2 * mean, 0.4 * mean)
                        >= estimator.probabilityNotStarted(0, 0.4 * mean),
                "the time already waited counts");
    }
}
