package gorserill.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests the slot table, deadlines and the loop's clock. */
public class TablesTest {

    @Test
    public void staleHandleFindsNothing() {
        SlotTable<String> table = new SlotTable<>();
        long first = table.add("a");
        assertEquals(table.remove(first), "a");
        long second = table.add("b");
        assertNotEquals(first, second);
        assertNull(table.get(first));
        assertNull(table.remove(first));
        assertEquals(table.get(second), "b");
        assertEquals(table.size(), 1);
        assertNull(table.get(0));
    }

    @Test
    public void deadlinesRunInOrderAndCanBeCancelled() {
        Deadlines deadlines = new Deadlines();
        List<String> done = new ArrayList<>();
        deadlines.at(20, () -> done.add("late"));
        deadlines.at(10, () -> done.add("early"));
        deadlines.at(10, () -> done.add("early, set second"));
        deadlines.cancel(deadlines.at(5, () -> done.add("taken back")));
        deadlines.cancel(null);
        assertEquals(deadlines.next(), 10);
        assertNull(deadlines.pollDue(9));
        for (Runnable due = deadlines.pollDue(20); due != null; due = deadlines.pollDue(20)) {
            due.run();
        }
        assertEquals(done, List.of("early", "early, set second", "late"));
        assertEquals(deadlines.next(), Long.MAX_VALUE);
    }

    /** A failing event must not stop the node and thereby all other requests. */
    @Test
    public void anEventThatThrowsDoesNotEndTheLoop() throws InterruptedException {
        List<Throwable> errors = new ArrayList<>();
        Loop loop = new Loop(errors::add);
        CountDownLatch after = new CountDownLatch(2);
        loop.start();
        loop.execute(() -> {
            throw new IllegalStateException("bad");
        });
        loop.execute(after::countDown);
        loop.execute(() -> loop.at(loop.now() + 1_000, after::countDown));
        Assert.assertTrue(after.await(5, TimeUnit.SECONDS));
        loop.stop();
        assertEquals(errors.get(0).getMessage(), "bad");
    }

    /** A worker's start time that changes between two lists would look like a restart. */
    @Test
    public void unixTimeConversionIsStable() {
        Loop loop = new Loop(e -> {});
        long unix = System.currentTimeMillis() - 3_000;
        long first = loop.fromUnixMillis(unix);
        assertEquals(loop.now() - first, 3_000_000, 100_000);
        assertEquals(loop.fromUnixMillis(unix), first);
        assertEquals(loop.fromUnixMillis(0), 0);
        assertEquals(loop.fromUnixMillis(1), 0);
    }
}
