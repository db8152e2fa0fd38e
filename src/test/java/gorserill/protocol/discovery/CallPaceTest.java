package gorserill.protocol.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What the calls of all nodes add up to at one discovery. */
public class CallPaceTest {

    @Test
    public void aSmallFleetAsksForTheWholeListAndALargeOneForWhatIsNew() {
        assertTrue(new CallPace(3, 1).startsWhole(15));
        assertFalse(new CallPace(14, 1).startsWhole(60));
        assertTrue(new CallPace(200, 1).startsWhole(0), "who knows of nobody needs them all");
        assertFalse(new CallPace(Integer.MAX_VALUE, 1).startsWhole(Integer.MAX_VALUE - 100));
    }

    /** Empty ends of waits must not grow with the number of nodes, until waits can grow no further. */
    @Test
    public void emptyCallsOfAllNodesStayWithinABound() {
        for (int nodes = 1; nodes <= 12; nodes++) {
            double calls = 0;
            for (int node = 0; node < nodes; node++) {
                CallPace pace = new CallPace(nodes, node);
                for (int i = 0; i < 100; i++) {
                    calls += 10.0 / pace.nextWait();
                }
            }
            assertTrue(calls <= 1.0, nodes + " nodes make " + calls + " calls a second");
        }
    }

    @Test
    public void waitsThatBeganTogetherEndApart() {
        assertEquals(new CallPace(3, 1).nextWait(), 5_000);
        long[] waits = new long[14];
        for (int node = 0; node < waits.length; node++) {
            waits[node] = new CallPace(14, node * 7919L).nextWait();
            assertTrue(waits[node] >= 12_000 && waits[node] <= 15_000, "waits " + waits[node]);
        }
        assertTrue(java.util.Arrays.stream(waits).distinct().count() > 7);
    }
}
