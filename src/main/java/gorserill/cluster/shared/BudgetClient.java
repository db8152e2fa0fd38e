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
 * A node's side of the budgets: it asks for as much as it is asked for, keeps no more than its due, and
 * spends no more than the log says it has. On the member's thread.
 */
public final class BudgetClient {
    /** Wanted beyond what is spent, so that a part can grow. */
    private static final double ROOM = 1.2;
    /** Thousandths by which a wish must change to be told, at the most. */
    private static final int WORTH_TELLING = 15;
    /** A small wish must change by this part of itself. Danger: of many nodes each wants but a few thousandths. */
    private static final int WORTH_TELLING_PART = 4;

    /** The member, as the spender sees it. */
    public interface MemberLink {
        /** 0 where this node has no life in the register. */
        long life();

        /** Until when, by the ground's clock, what was heard last holds. */
        long leaseUntil();

        /** Says what is wanted and kept; the answer is what this node has, or -1 where none came. */
        void request(String budget, int wants, int keeps, long turn, IntConsumer then);
    }

    private static final class Held {
        final Budget budget;
        double demand;
        long life;
        int has;
        int due;
        int wanted;
        long turn;
        /** The turn of what was heard of last. */
        long heard;
        /** The turn as of which the due was told; it says nothing of later ones. */
        long dueAsOf;
        /** No more than this until the word that said so is known to be in the log, or never to come. */
        int cap = BudgetShares.WHOLE_THOUSANDTHS;

        boolean asking;

        Held(Budget budget) {
            this.budget = budget;
        }
    }

    private final ClusterEnvironment ground;
    private final MemberLink link;
    private final long beat;
    private final long grace;
    private final boolean givesBackLate;
    private final Consumer<List<Allowance>> out;
    private final Map<String, Held> held = new TreeMap<>();

    /**
     * @param beat milliseconds between looks at what is wanted
     * @param lease milliseconds that a soft budget's part is kept beyond its end
     * @param givesBackLate a fault that can be planted: a part is spent until its return is in the log
     * @param out where what may be spent goes, each time that it changes
     */
    public BudgetClient(
            List<Budget> budgets,
            ClusterEnvironment ground,
            MemberLink link,
            long beat,
            long lease,
            boolean givesBackLate,
            Consumer<List<Allowance>> out) {
        budgets.forEach(budget -> held.put(budget.name(), new Held(budget)));
        this.ground = ground;
        this.link = link;
        this.beat = beat;
        this.givesBackLate = givesBackLate;
        grace = lease;
        this.out = out;
    }

    public void start() {
        look();
    }

    /** How many jobs a second were asked for, admitted or not. */
    public void updateDemand(String budget, double perSecond) {
        Held its = held.get(budget);
        if (its != null) {
            its.demand = perSecond;
        }
    }

    /** What a leader says that this node has. */
    public void applyView(JsonNode budgets) {
        for (JsonNode one : budgets) {
            Held its = held.get(one.path("budget").asText());
            if (its == null) {
                continue;
            }
            renewLife(its);
            long turn = one.path("turn").asLong();
            // Danger: a view made before this node's last word was in the log knows nothing of what it gave
            // back.
            if (turn >= its.heard) {
                its.heard = turn;
                its.has = one.path("has").asInt();
                its.due = one.path("due").asInt();
                its.dueAsOf = turn;
                if (turn >= its.turn) {
                    its.cap = BudgetShares.WHOLE_THOUSANDTHS;
                }
            }
        }
        tell();
    }

    /** Danger: what a life had is nothing to the next. */
    private void renewLife(Held its) {
        if (its.life != link.life()) {
            its.life = link.life();
            its.has = 0;
            its.due = 0;
            its.wanted = 0;
            its.turn = 0;
            its.heard = 0;
            its.dueAsOf = 0;
            its.cap = BudgetShares.WHOLE_THOUSANDTHS;
            its.asking = false;
        }
    }

    private void look() {
        for (Held its : held.values()) {
            renewLife(its);
            int wants = its.budget.thousandthsFor(its.demand * ROOM);
            // Danger: the due of before a wish would have what the wish has brought given back.
            int due = its.dueAsOf >= its.turn ? its.due : BudgetShares.WHOLE_THOUSANDTHS;
            int keeps = Math.min(its.has, Math.max(Math.min(wants, due), 0));
            boolean changed = Math.abs(wants - its.wanted) > worthTelling(its.wanted) || wants == 0 && its.wanted > 0;
            if (its.life > 0
                    && !its.asking
                    && (changed || its.has - due > worthTelling(due) || its.cap < BudgetShares.WHOLE_THOUSANDTHS)) {
                say(its, wants, Math.min(keeps, its.cap));
            }
        }
        tell();
        ground.after(beat, this::look);
    }

    private static int worthTelling(int thousandths) {
        return Math.min(WORTH_TELLING, thousandths / WORTH_TELLING_PART);
    }

    private void say(Held its, int wants, int keeps) {
        long life = its.life;
        long turn = ++its.turn;
        its.asking = true;
        its.wanted = wants;
        // Danger: what is given back may be another's before this node hears of it; so it is let go of first.
        its.cap = givesBackLate ? BudgetShares.WHOLE_THOUSANDTHS : Math.min(its.cap, keeps);
        tell();
        link.request(its.budget.name(), wants, keeps, turn, has -> {
            if (its.life != life || its.turn != turn) {
                return;
            }
            its.asking = false;
            if (has >= 0 && turn >= its.heard) {
                its.heard = turn;
                its.has = has;
                its.cap = BudgetShares.WHOLE_THOUSANDTHS;
                tell();
            }
        });
    }

    private void tell() {
        List<Allowance> all = new ArrayList<>();
        for (Held its : held.values()) {
            int may = its.life > 0 && its.life == link.life() ? Math.min(its.has, its.cap) : 0;
            all.add(new Allowance(its.budget, may, link.leaseUntil() + (its.budget.hard() ? 0 : grace)));
        }
        out.accept(all);
    }

    /** What this node has and is due, by budget, in thousandths. */
    public Map<String, int[]> shareFigures() {
        Map<String, int[]> figures = new TreeMap<>();
        held.forEach((name, its) -> figures.put(name, new int[] {Math.min(its.has, its.cap), its.due, its.wanted}));
        return figures;
    }
}
