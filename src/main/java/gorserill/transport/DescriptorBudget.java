package gorserill.transport;

import gorserill.common.SiblingProcesses;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The budget of file descriptors. Accepted connections get at most a share of it, so that the node can always connect
 * to workers and discovery. When that share or the whole budget is used up, accepted connections with no outstanding
 * answer are closed: first the oldest of those that never sent a valid request, then the one that has been idle
 * longest. All methods are callable on any thread.
 */
final class DescriptorBudget {
    private final int budget;
    private final int maxAccepted;
    private final SiblingProcesses siblings;
    private int inUse;
    private int accepted;
    /** Accepted connections without a valid request so far, oldest first. */
    private final Set<Channel> unproven = new LinkedHashSet<>();

    /** Idle connections that have sent a valid request, longest idle first. */
    private final Set<Channel> idle = new LinkedHashSet<>();

    /**
     * @param budget the maximum number of connections of all kinds
     * @param maxAccepted the maximum number of accepted connections among them
     * @param siblings other processes of this node, which use part of the same budget
     */
    DescriptorBudget(int budget, int maxAccepted, SiblingProcesses siblings) {
        this.siblings = siblings;
        this.budget = budget;
        this.maxAccepted = maxAccepted;
    }

    /** Acquires a descriptor for an outgoing connection; false if none is available. */
    synchronized boolean tryAcquire() {
        if (inUse >= limit()) {
            return false;
        }
        addInUse(1);
        return true;
    }

    /** Releases the descriptor of an outgoing connection. */
    synchronized void release() {
        addInUse(-1);
    }

    private void addInUse(int change) {
        inUse += change;
        siblings.reportConnections(inUse);
    }

    private int limit() {
        return budget - siblings.descriptorsElsewhere();
    }

    /**
     * Counts an accepted connection. Returns the connection to close in its favour, the new one itself if no other can
     * be closed, or null if there is room.
     */
    synchronized Channel registerAccepted(Channel channel) {
        addInUse(1);
        accepted++;
        Channel toClose = accepted <= maxAccepted && inUse <= limit() ? null : leastUseful(channel);
        unproven.add(channel);
        return toClose;
    }

    private Channel leastUseful(Channel fallback) {
        for (Set<Channel> candidates : List.of(unproven, idle)) {
            Iterator<Channel> oldest = candidates.iterator();
            if (oldest.hasNext()) {
                Channel channel = oldest.next();
                oldest.remove();
                return channel;
            }
        }
        return fallback;
    }

    synchronized void releaseAccepted(Channel channel) {
        markBusy(channel);
        addInUse(-1);
        accepted--;
    }

    synchronized void markBusy(Channel channel) {
        unproven.remove(channel);
        idle.remove(channel);
    }

    synchronized void markIdle(Channel channel) {
        markBusy(channel);
        idle.add(channel);
    }

    synchronized void markUnproven(Channel channel) {
        markBusy(channel);
        unproven.add(channel);
    }

    /** Whether less than a sixteenth of the budget is free for new connections. */
    synchronized boolean isNearLimit() {
        return inUse > limit() - budget / 16;
    }

    synchronized int inUse() {
        return inUse;
    }
}
