package gorserill.transport;

import gorserill.common.Loop;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Holds a write back until whatever could be read before it has been read and taken in. Of two kinds of facts it knows
 * how old the present knowledge may be:
 *
 * <ul>
 *   <li>that a connection has ended, which the selector's thread marks as it reads, and everybody sees at once;
 *   <li>what was said on a connection, which waits in the loop's queue. Danger: a barrier that overtakes that queue
 *       lets a write pass before a list that has already been read.
 * </ul>
 *
 * <p>A process can be stopped, or held up by the machine or the collector, and either thread may be the first to go
 * on; so both ages count from the moment at which a pass over all connections was asked for. A write that can't be
 * shown to be within them waits, until what it belongs to is given up. All runs on the loop's thread but where it says
 * otherwise.
 */
final class ReadBarrier {
    /** Connections that were seen open so long ago count as open, in microseconds. */
    static final long MAX_CLOSE_AGE_MICROS = 50_000;
    /** All connections are read at least this often while {@link #startPeriodicPasses} goes on, in milliseconds. */
    private static final int BEAT = 50;
    /** What is read without a pass for longer may have come at any time since, in microseconds. */
    private static final long MOST_UNREAD = 100_000;
    /** Passes over the connections, one after another, while more may come of what was read. */
    private static final int MOST_PASSES = 1_000;

    private final Loop loop;
    private final TCPNIOTransport nio;
    private final long mostFactAge;
    /** When the last pass was asked for that has been made; written on the selector's thread. */
    private volatile long readAt = Long.MIN_VALUE / 2;
    /** The same of the last pass all of whose findings the loop has taken in. */
    private long takenInAt = Long.MIN_VALUE / 2;
    /** Reads that more may follow of, so far; on the selector's thread. */
    private int unfinishedReads;
    /**
     * As many of them as were followed by a whole pass. Danger: a connection that was accepted right before a pass is
     * read only in the one after it.
     */
    private int settledReads;

    private List<Runnable> waiting = new ArrayList<>();
    private volatile boolean beats;

    /** @param mostFactAge how old what was said may be, in microseconds */
    ReadBarrier(Loop loop, TCPNIOTransport nio, long mostFactAge) {
        this.loop = loop;
        this.nio = nio;
        this.mostFactAge = mostFactAge;
    }

    /** On the selector's thread: a part of a statement was read, or a connection accepted and not yet read from. */
    void expectMoreInput() {
        unfinishedReads++;
    }

    /** From now on there is a pass every {@link #BEAT} whatever goes on, so that a pause of the process is noticed. */
    void startPeriodicPasses(SelectorRunner selector) {
        // Nothing came before there was where to.
        readAt = loop.now();
        beats = true;
        Thread thread = new Thread(() -> passes(selector), "read barrier");
        thread.setDaemon(true);
        thread.start();
    }

    private void passes(SelectorRunner selector) {
        try {
            while (beats) {
                pass(selector, loop.now(), () -> {});
                Thread.sleep(BEAT);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            // Danger: without passes all that is read would seem to have come long ago.
            beats = false;
        }
    }

    void stop() {
        beats = false;
    }

    /**
     * When something that is read now came, at the earliest, in microseconds of the loop's clock; any thread may ask.
     * Danger: after a pause of the process it may have waited in the system all the while, at its sender's expense.
     */
    long earliestArrivalMicros() {
        long now = loop.now();
        long unreadSince = readAt;
        return beats && now - unreadSince > MOST_UNREAD ? unreadSince : now;
    }

    /**
     * Runs it at once where what is known is recent enough, else as soon as it is.
     *
     * @param selector whose thread reads all connections
     */
    void runAfterReads(SelectorRunner selector, Runnable then) {
        if (waiting.isEmpty() && holds()) {
            then.run();
            return;
        }
        waiting.add(then);
        if (waiting.size() == 1) {
            passInOrder(selector);
        }
    }

    private boolean holds() {
        return takenInRecently() && readRecently();
    }

    private boolean takenInRecently() {
        return loop.now() - takenInAt <= mostFactAge;
    }

    private boolean readRecently() {
        return loop.now() - readAt <= MAX_CLOSE_AGE_MICROS;
    }

    /** Has all connections read, and hears of it behind all that was read. */
    private void passInOrder(SelectorRunner selector) {
        long asked = loop.now();
        pass(
                selector,
                asked,
                () -> loop.execute(() -> {
                    takenInAt = asked;
                    settle(selector);
                }));
    }

    /** Has all connections read, for their ends alone: it does not wait for what else was read. */
    private void passForEnds(SelectorRunner selector) {
        pass(selector, loop.now(), () -> loop.executeFirst(() -> settle(selector)));
    }

    private void settle(SelectorRunner selector) {
        if (!takenInRecently()) {
            passInOrder(selector);
        } else if (!readRecently()) {
            passForEnds(selector);
        } else {
            List<Runnable> all = waiting;
            waiting = new ArrayList<>();
            all.forEach(Runnable::run);
        }
    }

    /** @param made runs on the selector's thread */
    private void pass(SelectorRunner selector, long asked, Runnable made) {
        enqueue(selector, () -> pass(selector, asked, made, settledReads, MOST_PASSES));
    }

    /** Between two tasks the selector's thread has read once from each connection with something to read. */
    private void pass(SelectorRunner selector, long asked, Runnable made, int readsBefore, int passesLeft) {
        enqueue(selector, () -> {
            if (unfinishedReads != readsBefore && passesLeft > 0) {
                pass(selector, asked, made, unfinishedReads, passesLeft - 1);
            } else {
                settledReads = unfinishedReads;
                readAt = Math.max(readAt, asked);
                made.run();
            }
        });
    }

    private void enqueue(SelectorRunner selector, Runnable task) {
        nio.getSelectorHandler()
                .enque(
                        selector,
                        () -> {
                            task.run();
                            return true;
                        },
                        null);
    }
}
