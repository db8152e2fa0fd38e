package barrowflow;

/**
 * Estimates the distribution of the time between sending an attempt and its start, from this dispatcher's own
 * attempts. It uses the product-limit estimator (Kaplan and Meier, 1958): for each bucket of waiting time,
 * the fraction of the attempts still waiting that started within it. Attempts that were cancelled or given up
 * count as censored, in the buckets that they passed. It makes no decisions.
 */
final class StartDelayEstimator {
    /** Number of buckets: a quarter of an octave each, from a millisecond to about a minute. */
    private static final int BUCKETS = 64;

    private static final double BUCKETS_PER_OCTAVE = 4;
    private static final double FIRST_BUCKET_MICROS = 1_000;
    /** Number of the latest attempts over which each bucket averages. */
    private static final double BUCKET_SAMPLES = 256;
    /** Prior: of the attempts that reach a bucket, one in this many starts within it. */
    private static final double PRIOR_START_ONE_IN = 40;

    private final double[] reached = new double[BUCKETS];
    private final double[] started = new double[BUCKETS];
    /** Cumulative hazard up to each bucket; recomputed lazily after a change. */
    private final double[] cumulativeHazard = new double[BUCKETS + 1];

    private boolean hazardStale = true;

    /**
     * Records that an attempt started, or that it is not waited for any more.
     *
     * @param waitedMicros how long it had waited, microseconds
     */
    void observe(double waitedMicros, boolean hasStarted) {
        int last = (int) bucketPosition(waitedMicros);
        for (int i = 0; i <= last; i++) {
            reached[i] += 1 - reached[i] / BUCKET_SAMPLES;
            started[i] -= started[i] / BUCKET_SAMPLES;
        }
        started[last] += hasStarted ? 1 : 0;
        hazardStale = true;
    }

    /**
     * The probability that an attempt that has waited for {@code waitedMicros} has not started by {@code
     * untilMicros}, measured from when it was sent.
     */
    double probabilityNotStarted(double waitedMicros, double untilMicros) {
        return untilMicros <= waitedMicros
                ? 1
                : Math.exp(cumulativeHazardAt(waitedMicros) - cumulativeHazardAt(untilMicros));
    }

    private double cumulativeHazardAt(double waitedMicros) {
        if (hazardStale) {
            hazardStale = false;
            for (int i = 0; i < BUCKETS; i++) {
                double startProbability =
                        Math.min(1 - 1 / BUCKET_SAMPLES, (started[i] + 1 / PRIOR_START_ONE_IN) / (reached[i] + 1));
                cumulativeHazard[i + 1] = cumulativeHazard[i] - Math.log1p(-startProbability);
            }
        }
        double position = bucketPosition(waitedMicros);
        int i = (int) position;
        return cumulativeHazard[i] + (position - i) * (cumulativeHazard[i + 1] - cumulativeHazard[i]);
    }

    private static double bucketPosition(double waitedMicros) {
        double octaves = Math.log(Math.max(1, waitedMicros / FIRST_BUCKET_MICROS)) / Math.log(2);
        return Math.min(BUCKETS_PER_OCTAVE * octaves, BUCKETS - 1e-6);
    }
}
