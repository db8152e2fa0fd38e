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

/** Keeps the workers listed by discovery: assigns their ids, opens their connection pools and updates the core. */
final class WorkerDirectory {
    private static final Logger LOG = Logger.getLogger(WorkerDirectory.class.getName());
    private static final int UNKNOWN_INDEX = 255;
    /** Most names of departing workers written to the log line of one listing. */
    private static final int MAX_LOGGED_NAMES = 6;

    private final Loop loop;
    private final HttpWorker.Config workerConfig;
    private final List<String> zones;
    private final List<String> workerTypes;
    /** Names of removed workers kept in addition to the number of listed ones, since removed workers may return. */
    private static final int MIN_GONE_KEPT = 64;

    /** Worker ids by name. A worker keeps its id and its pool while it is listed or kept as removed. */
    private final Map<String, Long> idsByName = new HashMap<>();
    /** Names of removed workers, oldest removal first. */
    private final Set<String> goneNames = new LinkedHashSet<>();

    private long lastId;
    /** Version of the latest list; -1 before the first. */
    private long version = -1;

    private final Map<Long, HttpWorker> workers = new HashMap<>();
    /** The latest discovery entries of the workers that are not removed. */
    private final Map<String, WorkerListing.Entry> listed = new HashMap<>();
    /** Figures handed over by another process for workers not listed so far. */
    private final Map<String, Handover.WorkerFigures> unclaimedFigures = new HashMap<>();

    private final Core core;
    private final Predicate<String> isBanned;

    /** @param isBanned whether operators have excluded a worker; it then counts as draining, whatever discovery says */
    WorkerDirectory(
            Loop loop,
            Core core,
            HttpWorker.Config workerConfig,
            List<String> zones,
            List<String> workerTypes,
            Predicate<String> isBanned) {
        this.loop = loop;
        this.core = core;
        this.workerConfig = workerConfig;
        this.zones = zones;
        this.workerTypes = workerTypes;
        this.isBanned = isBanned;
    }

    /** Applies a listing: updates the core's workers and forgets the oldest removed ones. */
    void update(ListKind kind, WorkerListing listing) {
        if (kind == ListKind.WHOLE) {
            dropUnlisted(listing);
        }
        version = listing.index();
        List<String> leaving = new ArrayList<>();
        List<Worker> entries = new ArrayList<>();
        Map<Long, HttpWorker> ports = new HashMap<>();
        int started = 0;
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
                // Lists with live weights name most workers on every call, usually without any change.
                continue;
            }
            long id = idsByName.computeIfAbsent(entry.name(), n -> ++lastId);
            HttpWorker worker = workers.computeIfAbsent(id, i -> new HttpWorker(workerConfig, entry.name(), address));
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
                started++;
            }
            terminating += state == WorkerState.DRAINING ? 1 : 0;
            terminated += state == WorkerState.GONE ? 1 : 0;
            if (state == WorkerState.GONE) {
                listed.remove(entry.name());
                goneNames.add(entry.name());
            } else {
                listed.put(entry.name(), entry);
                goneNames.remove(entry.name());
            }
            ports.put(id, worker);
            entries.add(worker(id, entry));
        }
        if (kind == ListKind.CHANGES && entries.isEmpty()) {
            return;
        }
        core.updateWorkers(kind, entries, ports);
        evictGone();
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
                        started,
                        terminating,
                        terminated,
                        names(leaving)
                    });
        }
    }

    /** Formats the first few names for the log, so that the line stays short with many workers. */
    private static String names(List<String> leaving) {
        if (leaving.isEmpty()) {
            return "";
        }
        String firstNames = String.join(" ", leaving.subList(0, Math.min(MAX_LOGGED_NAMES, leaving.size())));
        return " (" + firstNames + (leaving.size() > MAX_LOGGED_NAMES ? " and others)" : ")");
    }

    /** The version of the latest list; -1 before the first. */
    long version() {
        return version;
    }

    /**
     * Evicts the oldest removed workers. Deployments that name workers anew at each release would otherwise fill
     * the memory with old names. A worker is evicted only after its last job has ended; ids are never reused.
     */
    private void evictGone() {
        int maxGone = MIN_GONE_KEPT + listed.size();
        for (Iterator<String> it = goneNames.iterator(); goneNames.size() > maxGone && it.hasNext(); ) {
            String name = it.next();
            if (core.tryForget(idsByName.get(name))) {
                it.remove();
                workers.remove(idsByName.remove(name)).closeIdle();
            }
        }
    }

    /** Visits the listed workers with their ids in the core. */
    void forEachListed(BiConsumer<Long, WorkerListing.Entry> visitor) {
        listed.forEach((name, entry) -> visitor.accept(idsByName.get(name), entry));
    }

    /** Restores another process's figures for workers that are listed, or will be, with the same start time. */
    void restoreLearned(Map<String, Handover.WorkerFigures> figures) {
        unclaimedFigures.putAll(figures);
        restoreLearned();
    }

    private void restoreLearned() {
        Map<Long, List<Double>> learnedById = new HashMap<>();
        forEachListed((id, entry) -> {
            Handover.WorkerFigures figures = unclaimedFigures.remove(entry.name());
            if (figures != null && figures.since() == entry.since()) {
                learnedById.put(id, figures.learned());
            }
        });
        if (!learnedById.isEmpty()) {
            core.restoreLearned(new LearnedState(List.of(), learnedById));
        }
    }

    private static WorkerState state(WorkerListing.Entry entry) {
        return switch (entry.status()) {
            case "in_service" -> WorkerState.READY;
            case "terminated" -> WorkerState.GONE;
            // An unknown status is treated as draining, the safe choice: the worker gets no new jobs.
            default -> WorkerState.DRAINING;
        };
    }

    private Worker worker(long id, WorkerListing.Entry entry) {
        WorkerState state = state(entry);
        return new Worker(
                id,
                indexOrUnknown(workerTypes, entry.type()),
                indexOrUnknown(zones, entry.zone()),
                entry.group(),
                state == WorkerState.READY && isBanned.test(entry.name()) ? WorkerState.DRAINING : state,
                loop.fromUnixMillis(entry.since()),
                nameHash(entry.name()));
    }

    /** Hash of a name, identical on every node (64-bit FNV-1a). */
    private static long nameHash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Number of listed workers. */
    int listedCount() {
        return listed.size();
    }

    /** Number of listed workers that currently receive no new jobs. */
    int avoidedCount() {
        int avoided = 0;
        for (String name : listed.keySet()) {
            avoided += core.avoids(idsByName.get(name)) ? 1 : 0;
        }
        return avoided;
    }

    /** Whether discovery has listed this worker, now or among the removed ones still kept. */
    boolean isKnown(String name) {
        return idsByName.containsKey(name);
    }

    /** Updates the core after operators excluded or re-included a worker. */
    void banChanged(String name) {
        WorkerListing.Entry entry = listed.get(name);
        if (entry != null) {
            long id = idsByName.get(name);
            core.updateWorkers(ListKind.CHANGES, List.of(worker(id, entry)), Map.of());
        }
    }

    /** Marks workers missing from a whole list as removed. */
    private void dropUnlisted(WorkerListing listing) {
        Set<String> named = new HashSet<>();
        listing.entries().forEach(entry -> named.add(entry.name()));
        idsByName.forEach((name, id) -> {
            if (!named.contains(name) && listed.remove(name) != null) {
                LOG.log(Level.FINE, "worker {0} is no longer listed", name);
                goneNames.add(name);
            }
        });
    }

    private static int indexOrUnknown(List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? UNKNOWN_INDEX : index;
    }
}
