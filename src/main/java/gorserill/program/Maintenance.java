package gorserill.program;

import gorserill.common.Loop;
import gorserill.protocol.faktory.FaktoryFrontend;
import java.io.IOException;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Excludes workers on an operator's call and puts them back, both listed HTTP workers and Faktory workers. */
final class Maintenance {
    private static final Logger LOG = Logger.getLogger(Maintenance.class.getName());
    /** Longest delay until a ban set through another process of the node takes effect here. */
    private static final long POLL_PERIOD_MICROS = 100_000;

    private final Loop loop;
    private final Bans bans;
    private final WorkerDirectory workers;
    private final FaktoryFrontend faktory;

    /** @param faktory null where the Faktory front end is disabled */
    Maintenance(Loop loop, Bans bans, WorkerDirectory workers, FaktoryFrontend faktory) {
        this.loop = loop;
        this.bans = bans;
        this.workers = workers;
        this.faktory = faktory;
    }

    /** Applies bans set through other processes of the node, now and periodically. */
    void pollBans() {
        apply(bans.refresh());
        loop.at(loop.now() + POLL_PERIOD_MICROS, this::pollBans);
    }

    /** Sets or lifts a ban; returns the reason for a refusal, or null on success. */
    String setBanned(String worker, boolean banned) {
        // Another process may have changed the ban since the last poll; on stale bans this call could wrongly do
        // nothing.
        apply(bans.refresh());
        boolean known = workers.isKnown(worker) || faktory != null && faktory.hasWorker(worker);
        if (!known && !(bans.contains(worker) && !banned)) {
            return worker.isEmpty() ? "no worker is named" : "no such worker was ever listed";
        }
        if (bans.contains(worker) != banned) {
            try {
                bans.set(worker, banned);
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
            LOG.log(Level.INFO, "worker {0} is {1}", new Object[] {
                worker, bans.contains(worker) ? "taken out" : "put back"
            });
            workers.banChanged(worker);
            if (faktory != null) {
                faktory.banChanged(worker);
            }
        }
    }
}
