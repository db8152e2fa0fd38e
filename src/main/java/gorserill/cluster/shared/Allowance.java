package gorserill.cluster.shared;

/**
 * What a node may spend of a budget until its lease is over, and after that.
 *
 * @param validUntil by the member's clock, milliseconds
 */
public record Allowance(Budget budget, int thousandths, long validUntil) {
    /** The part of the whole that it may spend now. */
    public double share(long now) {
        return budget.share(now < validUntil ? thousandths : 0);
    }
}
