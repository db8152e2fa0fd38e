package barrowflow;

/**
 * How long attempts wait to begin, seen over this dispatcher's own: in each stretch of waiting, the part that
 * began in it of those that had waited so far. An attempt that was called off or given up tells of the
 * stretches that it lived through (the product-limit estimate: Kaplan and Meier, 1958). It holds figures and
 * decides nothing.
 */
final class StartDelayEstimator {
    /** Stretches are a quarter of an octave wide, from a millisecond to a minute. */
    private static final int BUCKETS = 64;

    private static final double BUCKETS_PER_OCTAVE = 4;
    private static final double FIRST_BUCKET_MICROS = 1_000;
    /** Each stretch follows the last so many attempts that reached it. */
    private static final double BUCKET_SAMPLES = 256;
    /** Before any was seen, one in so many of those that reach a stretch begins in it. */
    private static final double PRIOR_START_ONE_IN = 40;

    private final double[] reached = new double[BUCKETS];
    private final double[] started = new double[BUCKETS];
    /** The cumulated hazard up to each stretch; summed up anew when it is asked for after a change. */
    private final double[] cumulativeHazard = new double[BUCKETS + 1];

    private boolean hazardStale = true;

    /**
     * An attempt began, or is not waited for any more.
     *
     * @param took how long it had waited, microseconds
     */
    void observe(double took, boolean began) {
        int last = (int) bucketPosition(took);
        for (int i = 0; i <= last; i++) {
            reached[i] += 1 - reached[i] / BUCKET_SAMPLES;
            started[i] -= started[i] / BUCKET_SAMPLES;
        }
        started[last] += began ? 1 : 0;
        hazardStale = true;
    }

    /** The chance that an attempt that has waited so long has not begun by then; both in microseconds. */
    double probabilityNotStarted(double waited, double until) {
        return until <= waited ? 1 : Math.exp(cumulativeHazardAt(waited) - cumulativeHazardAt(until));
    }

    private double cumulativeHazardAt(double waited) {
        if (hazardStale) {
            hazardStale = false;
            for (int i = 0; i < BUCKETS; i++) {
                double begin =
                        Math.min(1 - 1 / BUCKET_SAMPLES, (started[i] + 1 / PRIOR_START_ONE_IN) / (reached[i] + 1));
                cumulativeHazard[i + 1] = cumulativeHazard[i] - Math.log1p(-begin);
            }
        }
        double at = bucketPosition(waited);
        int i = (int) at;
        return cumulativeHazard[i] + (at - i) * (cumulativeHazard[i + 1] - cumulativeHazard[i]);
    }

    private static double bucketPosition(double waited) {
        double octaves = Math.log(Math.max(1, waited / FIRST_BUCKET_MICROS)) / Math.log(2);
        return Math.min(BUCKETS_PER_OCTAVE * octaves, BUCKETS - 1e-6);
    }
}
