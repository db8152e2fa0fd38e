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

/** Slots, deadlines and the loop's clock. */
public class TablesTest {

    @Test
    public void aHandleKeptPastItsTimeFindsNothing() {
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
    public void deadlinesComeInTheOrderOfTimeAndCanBeTakenBack() {
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

    /** Danger: one bad event must not end the node and all other requests with it. */
    @Test
    public void anEventThatThrowsDoesNotEndTheLoop() throws InterruptedException {
        List<Throwable> told = new ArrayList<>();
        Loop loop = new Loop(told::add);
        CountDownLatch after = new CountDownLatch(2);
        loop.start();
        loop.execute(() -> {
            throw new IllegalStateException("bad");
        });
        loop.execute(after::countDown);
        loop.execute(() -> loop.at(loop.now() + 1_000, after::countDown));
        Assert.assertTrue(after.await(5, TimeUnit.SECONDS));
        loop.stop();
        assertEquals(told.get(0).getMessage(), "bad");
    }

    /** Danger: a worker's start that shifts between two lists looks like a restart. */
    @Test
    public void unixTimesStayWhereTheyAreOnTheLoopsClock() {
        Loop loop = new Loop(e -> {});
        long unix = System.currentTimeMillis() - 3_000;
        long first = loop.fromUnixMillis(unix);
        assertEquals(loop.now() - first, 3_000_000, 100_000);
        assertEquals(loop.fromUnixMillis(unix), first);
        assertEquals(loop.fromUnixMillis(0), 0);
        assertEquals(loop.fromUnixMillis(1), 0);
    }
}
