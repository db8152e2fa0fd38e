package gorserill.cluster.shared;

import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated assignment of each budget to nodes, in thousandths, built from the log. The shares of a
 * budget never add up to more than the whole: a share grows only from the unassigned rest, and shrinks only
 * when its holder returns it or the holder's life ends. Deterministic: it uses no I/O, clock or randomness.
 * Its fields are written to the snapshot under their names.
 */
public final class BudgetShares {
    /** A whole budget, in thousandths. */
    public static final int WHOLE_THOUSANDTHS = 1_000;

    private static final int MAX_BUDGETS = 256;
    private static final int MAX_GHOSTS = 1_000;

    /** A node's share of a budget. */
    public static final class Share {
        /** Thousandths assigned to the node. */
        public int has;
        /** Thousandths that the node has requested. */
        public int wants;
        /** Turn of the latest request that was applied. */
        public long turn;
    }

    /** Shares by budget and node. */
    public TreeMap<String, TreeMap<String, Share>> parts = new TreeMap<>();
    /**
     * Shares of ended lives whose node has started again as another process, by node and life, then by budget.
     * They stay reserved, as the former process may only be stalled and still use them until its lease expires.
     */
    public TreeMap<String, TreeMap<String, Integer>> ghosts = new TreeMap<>();
    /** Cache of fair shares by budget, valid until a request changes; not part of the state. */
    private final transient Map<String, Map<String, Integer>> fairShareCache = new TreeMap<>();

    /**
     * Applies a node's request.
     *
     * @param wants thousandths that the node requests
     * @param keeps thousandths that it keeps of those it has; the rest is returned
     * @param turn increases with each request of a life; an older request that arrives late is ignored, or it
     *     would withdraw what the node holds by a newer one
     * @param over whether to skip the check of the sum, a fault that can be planted
     * @return the thousandths that the node now has
     */
    public int request(String node, String budget, int wants, int keeps, long turn, boolean over) {
        if (!parts.containsKey(budget) && parts.size() >= MAX_BUDGETS) {
            return 0;
        }
        Share share = parts.computeIfAbsent(budget, b -> new TreeMap<>()).computeIfAbsent(node, n -> new Share());
        fairShareCache.remove(budget);
        if (turn > share.turn) {
            share.turn = turn;
            share.wants = Math.max(0, Math.min(WHOLE_THOUSANDTHS, wants));
            share.has = Math.min(share.has, Math.max(0, keeps));
            assignFree(budget, over);
        }
        return share.has;
    }

    /** Assigns the unassigned thousandths to nodes that have less than their fair share. */
    private void assignFree(String budget, boolean over) {
        int free = unassigned(budget);
        if (free <= 0 && !over) {
            return;
        }
        Map<String, Integer> fairShares = fairShares(budget);
        for (Map.Entry<String, Share> entry : parts.get(budget).entrySet()) {
            Share share = entry.getValue();
            int added = over ? share.wants - share.has : Math.min(fairShares.get(entry.getKey()) - share.has, free);
            share.has += Math.max(0, added);
            free -= Math.max(0, added);
        }
    }

    /** Returns the thousandths of a budget that neither a node nor a ghost holds. */
    public int unassigned(String budget) {
        int reserved = ghosts.values().stream()
                .mapToInt(shares -> shares.getOrDefault(budget, 0))
                .sum();
        return WHOLE_THOUSANDTHS
                - reserved
                - parts.getOrDefault(budget, new TreeMap<>()).values().stream()
                        .mapToInt(share -> share.has)
                        .sum();
    }

    /**
     * Returns each node's max-min fair share: what it requests, or as much as any other node that requests more
     * (Bertsekas and Gallager, Data Networks, 1992, section 6.5.2).
     */
    public Map<String, Integer> fairShares(String budget) {
        return fairShareCache.computeIfAbsent(budget, this::computeFairShares);
    }

    private Map<String, Integer> computeFairShares(String budget) {
        Map<String, Share> shares = parts.getOrDefault(budget, new TreeMap<>());
        Map<String, Integer> fairShares = new TreeMap<>();
        int left = WHOLE_THOUSANDTHS;
        int nodes = shares.size();
        for (Map.Entry<String, Share> entry : shares.entrySet().stream()
                .sorted(Map.Entry.comparingByValue((a, b) -> Integer.compare(a.wants, b.wants)))
                .toList()) {
            int fairShare = Math.min(entry.getValue().wants, left / nodes--);
            fairShares.put(entry.getKey(), fairShare);
            left -= fairShare;
        }
        return fairShares;
    }

    /**
     * Ends a node's life and takes back its shares.
     *
     * @param mayGoOn whether its process may still use the shares, as it is not known to have ended; they then
     *     stay reserved until {@link #releaseGhost}
     */
    public void endLife(String node, long life, boolean mayGoOn) {
        TreeMap<String, Integer> held = new TreeMap<>();
        fairShareCache.clear();
        parts.forEach((budget, shares) -> {
            Share share = shares.remove(node);
            if (share != null && share.has > 0) {
                held.put(budget, share.has);
            }
        });
        if (mayGoOn && !held.isEmpty() && ghosts.size() < MAX_GHOSTS) {
            ghosts.put(node + "@" + life, held);
        } else {
            held.keySet().forEach(budget -> assignFree(budget, false));
        }
    }

    /** Assigns the reserved shares of an ended life to other nodes; returns whether there were any. */
    public boolean releaseGhost(String ghost) {
        TreeMap<String, Integer> held = ghosts.remove(ghost);
        if (held != null) {
            held.keySet().stream().filter(parts::containsKey).forEach(budget -> assignFree(budget, false));
        }
        return held != null;
    }
}
