package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.ListKind;
import gorserill.common.Loop;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.routing.Core;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** A fleet whose workers are replaced again and again, as on a busy season's days. */
public class FleetChurnTest {
    /** Finding H2 of the hardening review: kept for good, names would fill the memory with churn. */
    @Test
    public void whatIsKeptOfWorkersGrowsWithTheFleetNotWithItsHistory() throws Exception {
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 9);
        NodeConfig config = NodeConfig.read(new Fixture(nowhere, "", 15_000, "{}").environment);
        List<Throwable> faults = new ArrayList<>();
        long[] nanos = new long[1];
        Loop loop = new Loop(faults::add, () -> nanos[0]);
        Core core = new Core(loop, config.settings, 1, () -> {});
        WorkerDirectory fleet = new WorkerDirectory(loop, core, null, List.of("a"), List.of("std4"), name -> false);
        for (int round = 0; round < 100; round++) {
            List<WorkerListing.Entry> entries = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                entries.add(new WorkerListing.Entry(
                        "w-" + round + "-" + i, "127.0.0.1:9", "a", "std4", 0, "in_service", 0));
            }
            fleet.update(ListKind.WHOLE, new WorkerListing(round + 1, true, entries));
            nanos[0] += 1_000_000_000L;
            loop.runDue();
        }
        assertEquals(faults, List.of());
        assertEquals(fleet.listedCount(), 50);
        assertTrue(fleet.isKnown("w-99-0") && fleet.isKnown("w-98-0"), "one that just left may come back");
        assertFalse(fleet.isKnown("w-0-0"), "a worker gone 99 lists ago is still kept");
    }
}
