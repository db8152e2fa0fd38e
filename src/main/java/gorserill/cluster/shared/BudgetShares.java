package gorserill.cluster.shared;

import java.util.Map;
import java.util.TreeMap;

/**
 * Who has which part of each budget, in thousandths, as the log makes it. The sum of all parts of a budget is
 * never more than the whole: a part grows from what nobody has, and shrinks by its holder's own word or at
 * the end of its holder's life alone. Free of I/O, clock and chance.
 */
public final class BudgetShares {
    /** Thousandths. */
    public static final int WHOLE_THOUSANDTHS = 1_000;

    private static final int BUDGETS = 256;
    private static final int GHOSTS = 1_000;

    /** What a node has of a budget. */
    public static final class Share {
        public int has;
        public int wants;
        /** Of the last word that was heard. */
        public long turn;
    }

    /** By budget and node. */
    public TreeMap<String, TreeMap<String, Share>> parts = new TreeMap<>();
    /**
     * What lives had whose node came back as another process: by node and life, then by budget. Danger: the
     * process before may be stalled and still spend until its lease is over.
     */
    public TreeMap<String, TreeMap<String, Integer>> ghosts = new TreeMap<>();
    /** What nodes are due, by budget, until a wish changes; no part of the state. */
    private final transient Map<String, Map<String, Integer>> dues = new TreeMap<>();

    /**
     * A node says what it wants and what it keeps.
     *
     * @param turn rises from word to word of a life. Danger: an older word that comes late must not take away
     *     what the node holds by a newer one
     * @param over whether the sum is not looked at: a fault that can be planted
     * @return what the node has
     */
    public int request(String node, String budget, int wants, int keeps, long turn, boolean over) {
        if (!parts.containsKey(budget) && parts.size() >= BUDGETS) {
            return 0;
        }
        Share part = parts.computeIfAbsent(budget, b -> new TreeMap<>()).computeIfAbsent(node, n -> new Share());
        dues.remove(budget);
        if (turn > part.turn) {
            part.turn = turn;
            part.wants = Math.max(0, Math.min(WHOLE_THOUSANDTHS, wants));
            part.has = Math.min(part.has, Math.max(0, keeps));
            spread(budget, over);
        }
        return part.has;
    }

    /** What nobody has goes to those that have less than they are due. */
    private void spread(String budget, boolean over) {
        int free = unassigned(budget);
        if (free <= 0 && !over) {
            return;
        }
        Map<String, Integer> due = fairShares(budget);
        for (Map.Entry<String, Share> each : parts.get(budget).entrySet()) {
            Share part = each.getValue();
            int more = over ? part.wants - part.has : Math.min(due.get(each.getKey()) - part.has, free);
            part.has += Math.max(0, more);
            free -= Math.max(0, more);
        }
    }

    /** What nobody has. */
    public int unassigned(String budget) {
        int gone = ghosts.values().stream()
                .mapToInt(its -> its.getOrDefault(budget, 0))
                .sum();
        return WHOLE_THOUSANDTHS
                - gone
                - parts.getOrDefault(budget, new TreeMap<>()).values().stream()
                        .mapToInt(part -> part.has)
                        .sum();
    }

    /**
     * What each node is due: what it wants, or as much as any other that wants more (max-min fairness;
     * Bertsekas and Gallager, 1992, section 6.5.2).
     */
    public Map<String, Integer> fairShares(String budget) {
        return dues.computeIfAbsent(budget, this::share);
    }

    private Map<String, Integer> share(String budget) {
        Map<String, Share> its = parts.getOrDefault(budget, new TreeMap<>());
        Map<String, Integer> due = new TreeMap<>();
        int left = WHOLE_THOUSANDTHS;
        int nodes = its.size();
        for (Map.Entry<String, Share> one : its.entrySet().stream()
                .sorted(Map.Entry.comparingByValue((a, b) -> Integer.compare(a.wants, b.wants)))
                .toList()) {
            int gets = Math.min(one.getValue().wants, left / nodes--);
            due.put(one.getKey(), gets);
            left -= gets;
        }
        return due;
    }

    /**
     * A node's life is over.
     *
     * @param mayGoOn whether its process may still spend, as it was not said to have ended
     */
    public void endLife(String node, long life, boolean mayGoOn) {
        TreeMap<String, Integer> had = new TreeMap<>();
        dues.clear();
        parts.forEach((budget, its) -> {
            Share part = its.remove(node);
            if (part != null && part.has > 0) {
                had.put(budget, part.has);
            }
        });
        if (mayGoOn && !had.isEmpty() && ghosts.size() < GHOSTS) {
            ghosts.put(node + "@" + life, had);
        } else {
            had.keySet().forEach(budget -> spread(budget, false));
        }
    }

    /** What was a life's may go to others by now. */
    public boolean releaseGhost(String ghost) {
        TreeMap<String, Integer> had = ghosts.remove(ghost);
        if (had != null) {
            had.keySet().stream().filter(parts::containsKey).forEach(budget -> spread(budget, false));
        }
        return had != null;
    }
}
