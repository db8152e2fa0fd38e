package gorserill.program.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The list of workers that discovery serves: each change has an index, and all since one can be told. */
final class FleetList {
    /** A whole list begins with this index; who knows none, or an older one, gets the whole. */
    static final long FIRST_INDEX = 100;

    /** What a worker is said to be. */
    enum Status {
        IN_SERVICE,
        TERMINATING,
        TERMINATED;

        String text() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** A worker as listed; {@code since} is its last start, Unix time, 0 for long ago. */
    record Entry(String name, InetSocketAddress address, Status status, long since) {
        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\""
                    + address.getAddress().getHostAddress() + ":"
                    + address.getPort() + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\"status\":\""
                    + status.text() + "\",\"weight\":1.0,\"since_ms\":" + since + "}";
        }
    }

    /** What is told to somebody, up to an index. */
    record Told(long index, boolean whole, List<Entry> entries) {
        String json() {
            StringBuilder text = new StringBuilder(64 + entries.size() * 140);
            text.append("{\"index\":")
                    .append(index)
                    .append(",\"snapshot\":")
                    .append(whole)
                    .append(",\"endpoints\":[");
            for (int i = 0; i < entries.size(); i++) {
                text.append(i > 0 ? "," : "").append(entries.get(i).json());
            }
            return text.append("]}").toString();
        }
    }

    private final Map<String, Entry> listed = new LinkedHashMap<>();
    private final TreeMap<Long, Entry> changes = new TreeMap<>();
    private long index = FIRST_INDEX;
    private boolean closed;

    /** Begins with these. */
    synchronized void begin(List<Entry> entries) {
        entries.forEach(entry -> listed.put(entry.name(), entry));
    }

    /** Changes a worker's entry; gives the index of the change. */
    synchronized long change(Entry entry) {
        if (entry.status() == Status.TERMINATED) {
            listed.remove(entry.name());
        } else {
            listed.put(entry.name(), entry);
        }
        changes.put(++index, entry);
        notifyAll();
        return index;
    }

    /** The whole list as it is. */
    synchronized Told whole() {
        return new Told(index, true, new ArrayList<>(listed.values()));
    }

    /** Waits until there is something newer than that index, or for so long; then tells what. */
    synchronized Told since(long known, long wait) throws InterruptedException {
        if (known < FIRST_INDEX) {
            return whole();
        }
        long until = System.currentTimeMillis() + wait;
        for (long left = wait; index <= known && left > 0 && !closed; left = until - System.currentTimeMillis()) {
            wait(left);
        }
        Map<String, Entry> latest = new LinkedHashMap<>();
        changes.tailMap(known, false).values().forEach(entry -> latest.put(entry.name(), entry));
        return new Told(index, false, new ArrayList<>(latest.values()));
    }

    /** Nobody waits any longer. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }
}
