package gorserill.protocol.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the total load of all nodes' calls on one discovery service. */
public class CallPaceTest {

    /**
     * A watch can fall silent at any moment of its wait, or from the start. Changes that it misses count as reported
     * 6 s after that, or 2 s after the end of the wait if that is later; the next call must be sent well before.
     */
    @Test
    public void silentWatchTimesOutBeforeMissedChangesCountAsReported() {
        for (long wait = 0; wait <= 60_000; wait += 250) {
            for (long silent = 0; silent <= wait; silent += 250) {
                long deadline = Math.max(silent + 6_000, wait + 2_000);
                assertTrue(
                        new CallPace(3, false, 1).answerTimeout(wait) <= deadline - 1_500,
                        "wait " + wait + ", silent at " + silent);
            }
            assertTrue(
                    new CallPace(3, wait > 0, 1).answerTimeout(wait) >= wait + 500,
                    "an answer at the end of the wait must still be received");
        }
    }

    /**
     * The total rate of watches that expire without changes must not grow with the number of nodes, until waits reach
     * their upper limit.
     */
    @Test
    public void totalCallRateOfAllNodesIsBounded() {
        for (int nodes = 1; nodes <= 12; nodes++) {
            double calls = 0;
            for (int node = 0; node < nodes; node++) {
                CallPace pace = new CallPace(nodes, false, node);
                for (int i = 0; i < 100; i++) {
                    calls += 10.0 / pace.nextWatchWait();
                }
            }
            assertTrue(calls <= 1.0, nodes + " nodes make " + calls + " calls a second");
        }
    }

    @Test
    public void waitsOfDifferentNodesDiffer() {
        assertEquals(new CallPace(3, false, 1).nextWatchWait(), 5_000);
        long[] waits = new long[14];
        for (int node = 0; node < waits.length; node++) {
            waits[node] = new CallPace(14, false, node * 7919L).nextWatchWait();
            assertTrue(waits[node] >= 12_000 && waits[node] <= 15_000, "waits " + waits[node]);
        }
        assertTrue(java.util.Arrays.stream(waits).distinct().count() > 7);
    }
}
