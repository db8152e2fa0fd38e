package gorserill.program.soak;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of workers with all changes that were made to it, one version each. */
final class FleetHistory {
    /** The version of the list that nodes begin with. */
    static final long FIRST_VERSION = 100;

    /** What a worker is said to be. */
    enum Status {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * A worker's entry.
     *
     * @param since Unix time of its last start in milliseconds, 0 for long ago
     */
    record Entry(int worker, InetSocketAddress address, Status status, long since) {
        String json() {
            return ("{\"name\":\"w%d\",\"address\":\"%s:%d\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,"
                            + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":%d}")
                    .formatted(
                            worker,
                            address.getAddress().getHostAddress(),
                            address.getPort(),
                            status.name().toLowerCase(java.util.Locale.ROOT),
                            since);
        }
    }

    /** A change, and when it was made. */
    record Change(long version, double at, Entry entry) {}

    /** What is told at a time. */
    record Listing(long version, boolean whole, List<Entry> entries) {
        String json() {
            List<String> texts = entries.stream().map(Entry::json).toList();
            return "{\"index\":" + version + ",\"snapshot\":" + whole + ",\"endpoints\":[" + String.join(",", texts)
                    + "]}";
        }
    }

    private final Clock clock;
    private final Map<Integer, Entry> listed = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version = FIRST_VERSION;

    FleetHistory(Clock clock) {
        this.clock = clock;
    }

    synchronized void begin(Entry entry) {
        listed.put(entry.worker(), entry);
    }

    synchronized Change change(Entry entry) {
        if (entry.status() == Status.TERMINATED) {
            listed.remove(entry.worker());
        } else {
            listed.put(entry.worker(), entry);
        }
        Change change = new Change(++version, clock.now(), entry);
        changes.add(change);
        notifyAll();
        return change;
    }

    synchronized long version() {
        return version;
    }

    synchronized Listing whole() {
        return new Listing(version, true, List.copyOf(listed.values()));
    }

    /** What has changed since a version. */
    synchronized Listing since(long known) {
        if (known < FIRST_VERSION) {
            return whole();
        }
        Map<Integer, Entry> latest = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.version() > known) {
                latest.put(change.entry().worker(), change.entry());
            }
        }
        return new Listing(version, false, List.copyOf(latest.values()));
    }

    synchronized List<Change> changes() {
        return List.copyOf(changes);
    }
}
