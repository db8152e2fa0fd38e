package gorserill.program.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gorserill.program.command.GorserillCommand;
import gorserill.program.scale.FleetList.Entry;
import gorserill.program.scale.FleetList.Status;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Plans that are refused, and the small parts of a run by themselves. */
public class PlansTest {
    private static ScalePlan plan(int workers, int nodes) {
        return new ScalePlan(workers, nodes, 0, 0, 0, 100, 5, 1, Plant.NONE);
    }

    @Test
    public void aPlanBeyondHalfOfTheMemoryIsRefusedWithWhatWouldFit() {
        Bounds small = new Bounds(4_000, 100_000);
        assertNull(small.refusal(plan(100, 3)));
        assertTrue(
                small.refusal(plan(100, 30)).endsWith("with 100 workers 11 nodes would fit"),
                small.refusal(plan(100, 30)));
    }

    @Test
    public void aPlanBeyondTheDescriptorsIsRefusedWithWhatWouldFit() {
        Bounds few = new Bounds(64_000, 4_096);
        assertNull(few.refusal(plan(2_000, 1)));
        assertTrue(
                few.refusal(plan(5_000, 1)).endsWith("with 1 nodes 2972 workers would fit"),
                few.refusal(plan(5_000, 1)));
    }

    @Test
    public void argumentsOutOfBoundsAreNamed() {
        assertNull(plan(10, 1).fault());
        assertTrue(plan(10_001, 1).fault().startsWith("workers 10001"));
        assertTrue(plan(10, 0).fault().startsWith("nodes 0"));
        assertTrue(plan(10, 1).with(Dimension.CHURN, 51).fault().startsWith("churn 51"));
        assertTrue(plan(10, 1).with(Dimension.HOLLOW_NODES, 301).fault().startsWith("hollow-nodes 301"));
        assertTrue(plan(10, 2).with(Dimension.HOLLOW_NODES, 30).fault().startsWith("nodes 2 is none of"));
        assertTrue(plan(10, 1).with(Dimension.TENANTS, 1_001).fault().startsWith("tenants 1001"));
    }

    @Test
    public void wrongArgumentsEndWithStatusTwo() {
        assertEquals(GorserillCommand.execute(new String[] {"scale", "--workers", "0"}), 2);
        assertEquals(GorserillCommand.execute(new String[] {"scale", "--along", "sideways"}), 2);
        assertEquals(GorserillCommand.execute(new String[] {"scale", "--plant", "nothing-known"}), 2);
        assertEquals(GorserillCommand.execute(new String[] {"scale", "--repeat", "0"}), 2);
    }

    @Test
    public void aRequestIsTakenOnceItsLastByteIsThere() {
        HollowRequest request = new HollowRequest();
        byte[] bytes = "POST /x HTTP/1.1\r\nX-Txn: j1\r\nX-Lane: x\r\nContent-Length: 3\r\n\r\nabcPOST"
                .getBytes(StandardCharsets.US_ASCII);
        byte[] last = {bytes[bytes.length - 5], 'P', 'O', 'S', 'T'};
        request.add(bytes, bytes.length - 5);
        assertNull(request.take());
        request.add(last, last.length);
        assertEquals(request.take(), new HollowRequest.Job("j1", "x"));
        assertNull(request.take());
    }

    @Test
    public void aWatchGetsTheLatestOfEachWorkerSinceItsIndex() throws Exception {
        FleetList list = new FleetList();
        InetSocketAddress at = new InetSocketAddress("127.0.0.1", 1);
        list.begin(List.of(new Entry("w0", at, Status.IN_SERVICE, 0)));
        long first = list.change(new Entry("w0", at, Status.TERMINATING, 0));
        list.change(new Entry("w0", at, Status.TERMINATED, 0));
        assertEquals(
                list.since(FleetList.FIRST_INDEX, 0).entries(), List.of(new Entry("w0", at, Status.TERMINATED, 0)));
        assertEquals(list.since(first + 1, 1).entries(), List.of());
        assertTrue(list.whole().entries().isEmpty());
    }

    @Test
    public void whatTheChecksAreToldOfDrainsHoldsFromTheGraceOn() {
        RuleChecks checks = new RuleChecks();
        checks.submitted("n0-1", JobKind.ESTADO);
        checks.toldOfDraining(0, 7);
        long now = System.currentTimeMillis();
        checks.ran("n0-1", 7, now + RuleChecks.GRACE);
        assertEquals(checks.violated(), 0);
        checks.ran("n0-1", 7, now + RuleChecks.GRACE + RuleChecks.ROOM + 1_000);
        assertEquals(checks.violated(), 1);
        checks.inService(7);
        checks.ran("n0-1", 7, now + RuleChecks.GRACE + RuleChecks.ROOM + 1_000);
        assertEquals(checks.violated(), 1);
    }
}
