package gorserill.program;

import gorserill.common.Loop;
import gorserill.protocol.faktory.FaktoryFrontend;
import java.io.IOException;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Takes workers out by hand and puts them back, whichever way they are known to the node. */
final class Maintenance {
    private static final Logger LOG = Logger.getLogger(Maintenance.class.getName());
    /** What another process of the node was told holds here so much later at most. */
    private static final long LOOK_AGAIN = 100_000;

    private final Loop loop;
    private final Bans bans;
    private final Fleet fleet;
    private final FaktoryFrontend faktory;

    /** @param faktory null where that front is off */
    Maintenance(Loop loop, Bans bans, Fleet fleet, FaktoryFrontend faktory) {
        this.loop = loop;
        this.bans = bans;
        this.fleet = fleet;
        this.faktory = faktory;
    }

    /** Sees to it that other processes' calls hold here, too. */
    void watch() {
        apply(bans.refresh());
        loop.at(loop.now() + LOOK_AGAIN, this::watch);
    }

    /** Gives why it can't be done; null where it is. */
    String set(String worker, boolean out) {
        // Danger: another process may just have changed it, and a call that seems needless would do nothing.
        apply(bans.refresh());
        boolean known = fleet.knows(worker) || faktory != null && faktory.hasWorker(worker);
        if (!known && !(bans.has(worker) && !out)) {
            return worker.isEmpty() ? "no worker is named" : "no such worker was ever listed";
        }
        if (bans.has(worker) != out) {
            try {
                bans.set(worker, out);
            } catch (IOException e) {
                LOG.log(Level.SEVERE, "the bans can''t be kept: {0}", e.toString());
                return "the bans can't be kept";
            }
            apply(Set.of(worker));
        }
        return null;
    }

    private void apply(Set<String> changed) {
        for (String worker : changed) {
            LOG.log(Level.INFO, "worker {0} is {1}", new Object[] {worker, bans.has(worker) ? "taken out" : "put back"
            });
            fleet.banChanged(worker);
            if (faktory != null) {
                faktory.banChanged(worker);
            }
        }
    }
}
