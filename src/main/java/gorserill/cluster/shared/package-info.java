/**
 * Budgets that limit the rate of jobs over the whole cluster, and keep to the limit while nodes are cut off.
 * {@link gorserill.cluster.shared.BudgetShares} is the replicated state that assigns each node its share,
 * {@link gorserill.cluster.shared.BudgetClient} requests and returns shares on a node, and {@link
 * gorserill.cluster.shared.BudgetLimiter} admits jobs within them, with a {@link
 * gorserill.cluster.shared.TokenBucket} for each budget.
 */
package gorserill.cluster.shared;
