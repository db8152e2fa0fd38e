package gorserill.cluster.shared;

/**
 * A node's share of a budget. Once its lease has expired, only the node's part of the guaranteed floor remains.
 *
 * @param thousandths of what is left of the budget after the floor
 * @param validUntil when the lease expires, in milliseconds of the member's clock
 */
public record Allowance(Budget budget, int thousandths, long validUntil) {
    /** Returns the fraction of the whole budget that the node may use at {@code now}, by the member's clock. */
    public double share(long now) {
        return budget.share(now < validUntil ? thousandths : 0);
    }
}
