package gorserill.program.soak;

/** Milliseconds of the machine's monotonic clock since the run began. */
final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long start = System.nanoTime();

    double now() {
        return (System.nanoTime() - start) / NANOS_PER_MILLI;
    }
}
