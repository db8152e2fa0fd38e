package gorserill.cluster.shared;

import com.fasterxml.jackson.databind.JsonNode;
import gorserill.cluster.ClusterEnvironment;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * Manages a node's shares of the budgets: requests shares to match the node's demand, returns what exceeds its
 * fair share, and publishes allowances that never exceed what the log assigns to the node. Runs on the
 * member's thread.
 */
public final class BudgetClient {
    /** Factor by which requests exceed current demand, so that a share can grow with it. */
    private static final double HEADROOM = 1.2;
    /** A change of more than this many thousandths is always requested. */
    private static final int MAX_IGNORED_CHANGE_THOUSANDTHS = 15;
    /**
     * For small shares, a change of more than the share divided by this is requested: where many nodes share a
     * budget, each requests only a few thousandths and a fixed threshold would suppress all requests.
     */
    private static final int IGNORED_CHANGE_DIVISOR = 4;

    /** What the client needs of the cluster member. */
    public interface MemberLink {
        /** Returns the node's current life, or 0 if it has none in the register. */
        long life();

        /** Returns when the node's lease expires, in milliseconds of the ground's clock. */
        long leaseUntil();

        /** Requests a share; {@code then} receives the thousandths that the node has, or -1 without an answer. */
        void request(String budget, int wants, int keeps, long turn, IntConsumer then);
    }

    private static final class NodeShare {
        final Budget budget;
        double demandPerSecond;
        long life;
        int assigned;
        int fairShare;
        int requested;
        long turn;
        /** Turn of the newest state that was received from the leader. */
        long receivedTurn;
        /** Turn up to which the received fair share takes this node's requests into account. */
        long fairShareTurn;
        /** Limits the allowance until the request that returned the rest is either in the log or known to be lost. */
        int cap = BudgetShares.WHOLE_THOUSANDTHS;

        boolean requestPending;

        NodeShare(Budget budget) {
            this.budget = budget;
        }
    }

    private final ClusterEnvironment ground;
    private final MemberLink link;
    private final long intervalMs;
    private final long graceMs;
    private final boolean givesBackLate;
    private final Consumer<List<Allowance>> allowanceListener;
    private final Map<String, NodeShare> shares = new TreeMap<>();

    /**
     * @param intervalMs milliseconds between checks of demand
     * @param leaseMs milliseconds for which a share of a soft budget remains usable after its lease has expired
     * @param givesBackLate a fault that can be planted: a share is used until its return is in the log
     * @param allowanceListener receives all allowances, ordered by the budgets' names
     */
    public BudgetClient(
            List<Budget> budgets,
            ClusterEnvironment ground,
            MemberLink link,
            long intervalMs,
            long leaseMs,
            boolean givesBackLate,
            Consumer<List<Allowance>> allowanceListener) {
        budgets.forEach(budget -> shares.put(budget.name(), new NodeShare(budget)));
        this.ground = ground;
        this.link = link;
        this.intervalMs = intervalMs;
        this.givesBackLate = givesBackLate;
        graceMs = leaseMs;
        this.allowanceListener = allowanceListener;
    }

    public void start() {
        checkDemand();
    }

    /** Records the jobs a second that were requested of a budget, admitted or not. */
    public void updateDemand(String budget, double perSecond) {
        NodeShare share = shares.get(budget);
        if (share != null) {
            share.demandPerSecond = perSecond;
        }
    }

    /** Applies the state of this node's shares from a leader's view. */
    public void applyView(JsonNode budgets) {
        for (JsonNode entry : budgets) {
            NodeShare share = shares.get(entry.path("budget").asText());
            if (share == null) {
                continue;
            }
            resetOnNewLife(share);
            long turn = entry.path("turn").asLong();
            // A view made before this node's last request was in the log still contains what the request
            // returned.
            if (turn >= share.receivedTurn) {
                share.receivedTurn = turn;
                share.assigned = entry.path("has").asInt();
                share.fairShare = entry.path("due").asInt();
                share.fairShareTurn = turn;
                if (turn >= share.turn) {
                    share.cap = BudgetShares.WHOLE_THOUSANDTHS;
                }
            }
        }
        publishAllowances();
    }

    /** Discards the state of a former life, whose shares the current life does not hold. */
    private void resetOnNewLife(NodeShare share) {
        if (share.life != link.life()) {
            share.life = link.life();
            share.assigned = 0;
            share.fairShare = 0;
            share.requested = 0;
            share.turn = 0;
            share.receivedTurn = 0;
            share.fairShareTurn = 0;
            share.cap = BudgetShares.WHOLE_THOUSANDTHS;
            share.requestPending = false;
        }
    }

    private void checkDemand() {
        for (NodeShare share : shares.values()) {
            resetOnNewLife(share);
            int wants = share.budget.thousandthsFor(share.demandPerSecond * HEADROOM);
            // A fair share computed before the latest request is ignored: it would return what that request
            // has just obtained.
            int fairShare = share.fairShareTurn >= share.turn ? share.fairShare : BudgetShares.WHOLE_THOUSANDTHS;
            int keeps = Math.min(share.assigned, Math.max(Math.min(wants, fairShare), 0));
            boolean changed = Math.abs(wants - share.requested) > ignoredChange(share.requested)
                    || wants == 0 && share.requested > 0;
            if (share.life > 0
                    && !share.requestPending
                    && (changed
                            || share.assigned - fairShare > ignoredChange(fairShare)
                            || share.cap < BudgetShares.WHOLE_THOUSANDTHS)) {
                request(share, wants, Math.min(keeps, share.cap));
            }
        }
        publishAllowances();
        ground.after(intervalMs, this::checkDemand);
    }

    private static int ignoredChange(int thousandths) {
        return Math.min(MAX_IGNORED_CHANGE_THOUSANDTHS, thousandths / IGNORED_CHANGE_DIVISOR);
    }

    private void request(NodeShare share, int wants, int keeps) {
        long life = share.life;
        long turn = ++share.turn;
        share.requestPending = true;
        share.requested = wants;
        // The returned part may be assigned to another node before this node gets the answer, so it stops
        // using that part first.
        share.cap = givesBackLate ? BudgetShares.WHOLE_THOUSANDTHS : Math.min(share.cap, keeps);
        publishAllowances();
        link.request(share.budget.name(), wants, keeps, turn, assigned -> {
            if (share.life != life || share.turn != turn) {
                return;
            }
            share.requestPending = false;
            if (assigned >= 0 && turn >= share.receivedTurn) {
                share.receivedTurn = turn;
                share.assigned = assigned;
                share.cap = BudgetShares.WHOLE_THOUSANDTHS;
                publishAllowances();
            }
        });
    }

    private void publishAllowances() {
        List<Allowance> all = new ArrayList<>();
        for (NodeShare share : shares.values()) {
            int usable = share.life > 0 && share.life == link.life() ? Math.min(share.assigned, share.cap) : 0;
            all.add(new Allowance(share.budget, usable, link.leaseUntil() + (share.budget.hard() ? 0 : graceMs)));
        }
        allowanceListener.accept(all);
    }

    /** Returns by budget, in thousandths: the usable share, the fair share and the requested share. */
    public Map<String, int[]> shareFigures() {
        Map<String, int[]> figures = new TreeMap<>();
        shares.forEach((name, share) ->
                figures.put(name, new int[] {Math.min(share.assigned, share.cap), share.fairShare, share.requested}));
        return figures;
    }
}
