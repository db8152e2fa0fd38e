package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Waits of known law are told as that law has them, also where most are not seen to their end. */
class WaitsTest {
    @Property(tries = 60, seed = "7")
    void theChanceToWaitLongerIsThatOfTheLaw(
            @ForAll @DoubleRange(min = 20_000, max = 2_000_000) double mean,
            @ForAll @DoubleRange(min = 0.3, max = 3) double seenFor) {
        SplittableRandom random = new SplittableRandom((long) mean);
        StartDelayEstimator waits = new StartDelayEstimator();
        for (int i = 0; i < 4_000; i++) {
            double wait = -mean * Math.log(1 - random.nextDouble());
            double watched = mean * seenFor * (0.5 + random.nextDouble());
            waits.observe(Math.min(wait, watched), wait <= watched);
        }
        for (double part : new double[] {0.1, 0.3 * seenFor, 0.45 * seenFor}) {
            assertEquals(
                    Math.exp(-part),
                    waits.probabilityNotStarted(0, part * mean),
                    0.13,
                    "mean " + mean + " part " + part);
        }
        assertTrue(
                waits.probabilityNotStarted(0.2 * mean, 0.4 * mean) >= waits.probabilityNotStarted(0, 0.4 * mean),
                "time that has passed counts");
    }
}
