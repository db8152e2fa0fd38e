/**
 * Budgets that all nodes spend from, within bounds also where some hear nothing: {@link
 * gorserill.cluster.shared.BudgetShares} is what the log says of who has which part, {@link
 * gorserill.cluster.shared.BudgetClient} a node's side of it, {@link gorserill.cluster.shared.TokenBucket} what it
 * spends.
 */
package gorserill.cluster.shared;
