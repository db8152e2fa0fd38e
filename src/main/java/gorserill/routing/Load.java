package gorserill.routing;

/** What a worker reported of its load with an answer; NaN where it did not. */
public record Load(double freeSlots, double freeMemory) {
    public static final Load NONE = new Load(Double.NaN, Double.NaN);
}
