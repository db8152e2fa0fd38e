package gorserill.transport;

import gorserill.common.SiblingProcesses;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The budget of descriptors. Accepted connections get at most a share of it, so that workers and discovery
 * can always be reached; when that is used up, those on which nothing is owed make room, first the oldest of
 * those that never brought anything of use, then whichever rests longest. Any thread may call it.
 */
final class DescriptorBudget {
    private final int budget;
    private final int mostAccepted;
    private final SiblingProcesses siblings;
    private int all;
    private int accepted;
    /** Both in the order in which they came to be so. */
    private final Set<Channel> unproven = new LinkedHashSet<>();

    private final Set<Channel> resting = new LinkedHashSet<>();

    /**
     * @param budget the most connections of all kinds together
     * @param mostAccepted the most of them that others may open
     * @param siblings who hold part of the budget, too
     */
    DescriptorBudget(int budget, int mostAccepted, SiblingProcesses siblings) {
        this.siblings = siblings;
        this.budget = budget;
        this.mostAccepted = mostAccepted;
    }

    /** Takes a descriptor for a connection to be opened; false where none is left. */
    synchronized boolean tryAcquire() {
        if (all >= left()) {
            return false;
        }
        count(1);
        return true;
    }

    synchronized void release() {
        count(-1);
    }

    private void count(int more) {
        all += more;
        siblings.reportConnections(all);
    }

    private int left() {
        return budget - siblings.descriptorsElsewhere();
    }

    /** A connection was accepted; gives one to close for it, or null, or the new one itself. */
    synchronized Channel registerAccepted(Channel channel) {
        count(1);
        accepted++;
        Channel least = accepted <= mostAccepted && all <= left() ? null : least(channel);
        unproven.add(channel);
        return least;
    }

    private Channel least(Channel otherwise) {
        for (Set<Channel> candidates : List.of(unproven, resting)) {
            Iterator<Channel> oldest = candidates.iterator();
            if (oldest.hasNext()) {
                Channel found = oldest.next();
                oldest.remove();
                return found;
            }
        }
        return otherwise;
    }

    synchronized void releaseAccepted(Channel channel) {
        markBusy(channel);
        count(-1);
        accepted--;
    }

    synchronized void markBusy(Channel channel) {
        unproven.remove(channel);
        resting.remove(channel);
    }

    synchronized void markIdle(Channel channel) {
        markBusy(channel);
        resting.add(channel);
    }

    synchronized void markUnproven(Channel channel) {
        markBusy(channel);
        unproven.add(channel);
    }

    /** Whether next to nothing is left to open connections with. */
    synchronized boolean isNearLimit() {
        return all > left() - budget / 16;
    }

    synchronized int inUse() {
        return all;
    }
}
