package gorserill.routing;

/** The load that a worker reported with a response; NaN for values that it did not report. */
public record Load(double freeSlots, double freeMemory) {
    public static final Load NONE = new Load(Double.NaN, Double.NaN);
}
