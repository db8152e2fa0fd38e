package gorserill.program;

import barrowflow.Dispatcher.LearnedState;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.Loop;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.http.HttpWorker;
import gorserill.routing.Core;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Turns discovery's listings into workers of the core's. */
final class WorkerDirectory {
    private static final Logger LOG = Logger.getLogger(WorkerDirectory.class.getName());
    private static final int UNKNOWN = 255;
    /** Workers that leave are named in a listing's line up to so many. */
    private static final int MOST_NAMES = 6;

    private final Loop loop;
    private final HttpWorker.Config terms;
    private final List<String> zones;
    private final List<String> kinds;
    /** Names of workers that are gone, kept beside as many as are listed; they may come back. */
    private static final int GONE_KEPT = 64;

    /** A worker keeps its number and its pool while it is listed, and for as long as it is kept after. */
    private final Map<String, Long> numbers = new HashMap<>();
    /** In the order in which they went. */
    private final Set<String> gone = new LinkedHashSet<>();

    private long lastNumber;
    /** Of the list that was told last; -1 for none. */
    private long version = -1;

    private final Map<Long, HttpWorker> workers = new HashMap<>();
    /** What discovery says at present of the workers that are not gone. */
    private final Map<String, WorkerListing.Entry> listed = new HashMap<>();
    /** Handed over, and not yet listed. */
    private final Map<String, Handover.WorkerFigures> recalled = new HashMap<>();

    private final Core core;
    private final Predicate<String> banned;

    /** @param banned whom operators have taken out: it counts as draining, whatever discovery says */
    WorkerDirectory(
            Loop loop,
            Core core,
            HttpWorker.Config terms,
            List<String> zones,
            List<String> kinds,
            Predicate<String> banned) {
        this.loop = loop;
        this.core = core;
        this.terms = terms;
        this.zones = zones;
        this.kinds = kinds;
        this.banned = banned;
    }

    void update(ListKind kind, WorkerListing listing) {
        if (kind == ListKind.WHOLE) {
            dropUnlisted(listing);
        }
        version = listing.index();
        List<String> leaving = new ArrayList<>();
        List<Worker> entries = new ArrayList<>();
        Map<Long, HttpWorker> ports = new HashMap<>();
        int young = 0;
        int terminating = 0;
        int terminated = 0;
        for (WorkerListing.Entry entry : listing.entries()) {
            InetSocketAddress address = NodeConfig.addressOrNull(entry.address());
            if (address == null) {
                LOG.log(Level.WARNING, "discovery: worker {0} has an unreadable address {1}; left out", new Object[] {
                    entry.name(), entry.address()
                });
                continue;
            }
            if (kind == ListKind.CHANGES && entry.equals(listed.get(entry.name()))) {
                // Danger: where lists carry live weights each call names most workers, and nothing is new.
                continue;
            }
            long id = numbers.computeIfAbsent(entry.name(), n -> ++lastNumber);
            HttpWorker worker = workers.computeIfAbsent(id, i -> new HttpWorker(terms, entry.name(), address));
            worker.moveTo(address);
            WorkerState state = state(entry);
            if (state != WorkerState.READY) {
                LOG.log(Level.FINE, "worker {0} is {1}", new Object[] {entry.name(), entry.status()});
                leaving.add(entry.name());
            }
            WorkerListing.Entry before = listed.get(entry.name());
            if (state == WorkerState.READY
                    && entry.since() > 0
                    && (before == null || before.since() != entry.since())) {
                LOG.log(Level.FINE, "worker {0} started at {1}", new Object[] {entry.name(), entry.since()});
                young++;
            }
            terminating += state == WorkerState.DRAINING ? 1 : 0;
            terminated += state == WorkerState.GONE ? 1 : 0;
            if (state == WorkerState.GONE) {
                listed.remove(entry.name());
                gone.add(entry.name());
            } else {
                listed.put(entry.name(), entry);
                gone.remove(entry.name());
            }
            ports.put(id, worker);
            entries.add(worker(id, entry));
        }
        if (kind == ListKind.CHANGES && entries.isEmpty()) {
            return;
        }
        core.updateWorkers(kind, entries, ports);
        forget();
        restoreLearned();
        if (!entries.isEmpty()) {
            LOG.log(
                    Level.INFO,
                    "list {0}: {1} workers, {2} of {3} told: {4} started, {5} terminating, {6} terminated{7}",
                    new Object[] {
                        listing.index(),
                        listed.size(),
                        entries.size(),
                        kind == ListKind.CHANGES ? "changes" : "all",
                        young,
                        terminating,
                        terminated,
                        names(leaving)
                    });
        }
    }

    /** For the log: a few names, so that a line stays a line in a fleet of any size. */
    private static String names(List<String> leaving) {
        if (leaving.isEmpty()) {
            return "";
        }
        String some = String.join(" ", leaving.subList(0, Math.min(MOST_NAMES, leaving.size())));
        return " (" + some + (leaving.size() > MOST_NAMES ? " and others)" : ")");
    }

    /** The version of the list that was told last; -1 for none. */
    long version() {
        return version;
    }

    /**
     * Danger: fleets whose workers get new names at each release would fill the memory with old ones. Who
     * went first is forgotten first, but not before its last job has ended; numbers are never used again.
     */
    private void forget() {
        int most = GONE_KEPT + listed.size();
        for (Iterator<String> it = gone.iterator(); gone.size() > most && it.hasNext(); ) {
            String name = it.next();
            if (core.tryForget(numbers.get(name))) {
                it.remove();
                workers.remove(numbers.remove(name)).closeIdle();
            }
        }
    }

    /** What is listed at present, with the core's numbers. */
    void forEachListed(BiConsumer<Long, WorkerListing.Entry> visitor) {
        listed.forEach((name, entry) -> visitor.accept(numbers.get(name), entry));
    }

    /** Begins with what another process has learned of workers, as far as they are listed and the same. */
    void restoreLearned(Map<String, Handover.WorkerFigures> figures) {
        recalled.putAll(figures);
        restoreLearned();
    }

    private void restoreLearned() {
        Map<Long, List<Double>> known = new HashMap<>();
        forEachListed((id, entry) -> {
            Handover.WorkerFigures its = recalled.remove(entry.name());
            if (its != null && its.since() == entry.since()) {
                known.put(id, its.learned());
            }
        });
        if (!known.isEmpty()) {
            core.restoreLearned(new LearnedState(List.of(), known));
        }
    }

    private static WorkerState state(WorkerListing.Entry entry) {
        return switch (entry.status()) {
            case "in_service" -> WorkerState.READY;
            case "terminated" -> WorkerState.GONE;
            // An unknown state is treated as the careful one.
            default -> WorkerState.DRAINING;
        };
    }

    private Worker worker(long id, WorkerListing.Entry entry) {
        WorkerState state = state(entry);
        return new Worker(
                id,
                place(kinds, entry.type()),
                place(zones, entry.zone()),
                entry.group(),
                state == WorkerState.READY && banned.test(entry.name()) ? WorkerState.DRAINING : state,
                loop.fromUnixMillis(entry.since()),
                name(entry.name()));
    }

    /** A number that every node makes of the same name (FNV-1a, 64 bits). */
    private static long name(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** How many workers the list holds. */
    int listedCount() {
        return listed.size();
    }

    /** To how many of them nothing new goes at present. */
    int avoidedCount() {
        int avoided = 0;
        for (String name : listed.keySet()) {
            avoided += core.avoids(numbers.get(name)) ? 1 : 0;
        }
        return avoided;
    }

    /** Whether discovery ever named it. */
    boolean isKnown(String name) {
        return numbers.containsKey(name);
    }

    /** Tells the core of a worker that was taken out or put back. */
    void banChanged(String name) {
        WorkerListing.Entry entry = listed.get(name);
        if (entry != null) {
            long id = numbers.get(name);
            core.updateWorkers(ListKind.CHANGES, List.of(worker(id, entry)), Map.of());
        }
    }

    /** A whole list's silence on a worker says that it is gone. */
    private void dropUnlisted(WorkerListing listing) {
        Set<String> named = new HashSet<>();
        listing.entries().forEach(entry -> named.add(entry.name()));
        numbers.forEach((name, id) -> {
            if (!named.contains(name) && listed.remove(name) != null) {
                LOG.log(Level.FINE, "worker {0} is no longer listed", name);
                gone.add(name);
            }
        });
    }

    private static int place(List<String> names, String name) {
        int place = names.indexOf(name);
        return place < 0 ? UNKNOWN : place;
    }
}
