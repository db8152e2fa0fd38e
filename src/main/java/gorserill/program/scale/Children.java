package gorserill.program.scale;

import java.io.Closeable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** All processes of a run: they end with it, also where it is broken off. */
final class Children implements Closeable {
    private final Deque<Child> all = new ArrayDeque<>();
    private final Thread atEnd = new Thread(this::killAll, "end of children");

    Children() {
        Runtime.getRuntime().addShutdownHook(atEnd);
    }

    synchronized Child add(Child child) {
        all.push(child);
        return child;
    }

    /** @throws ScaleException where one has died */
    void mustLive() throws ScaleException {
        for (Child child : snapshot()) {
            child.mustLive();
        }
    }

    private synchronized List<Child> snapshot() {
        return List.copyOf(all);
    }

    private void killAll() {
        snapshot().forEach(Child::kill);
    }

    /** Ends them all, the latest first. */
    @Override
    public void close() {
        snapshot().forEach(Child::close);
        try {
            Runtime.getRuntime().removeShutdownHook(atEnd);
        } catch (IllegalStateException e) {
            // The JVM is ending already, and the hook with it.
        }
    }
}
