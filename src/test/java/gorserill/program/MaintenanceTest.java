package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import barrowflow.Dispatcher.ListKind;
import gorserill.common.Loop;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.routing.Core;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Operators' calls to two processes of a node, neither of which has looked yet at what the other did. */
public class MaintenanceTest {
    private Path folder;
    private NodeConfig config;

    /** A process of the node, as far as operators take workers out of it; it looks at the file when told. */
    private final class Process {
        private final List<Throwable> faults = new ArrayList<>();
        private final Loop loop = new Loop(faults::add, () -> 0);
        private final Core core = new Core(loop, config.settings, 1, () -> {});
        private final Bans bans = new Bans(folder, "n1");
        private final WorkerDirectory fleet =
                new WorkerDirectory(loop, core, null, List.of("a"), List.of("std4"), bans::contains);
        private final Maintenance maintenance = new Maintenance(loop, bans, fleet, null);

        Process() {
            fleet.update(
                    ListKind.WHOLE,
                    new WorkerListing(
                            1,
                            true,
                            List.of(new WorkerListing.Entry("w1", "127.0.0.1:9", "a", "std4", 0, "in_service", 0))));
        }

        void call(boolean out) {
            assertNull(maintenance.setBanned("w1", out));
            assertEquals(faults, List.of());
        }
    }

    @BeforeMethod
    public void anew() throws Exception {
        folder = Files.createTempDirectory("maintenance");
        config = NodeConfig.read(new Fixture(new InetSocketAddress("127.0.0.1", 9), "", 15_000, "{}").environment);
    }

    /** Danger: a call that is answered ok and does nothing leaves a worker in, or out, unknown to staff. */
    @Test
    public void aCallHoldsWhateverTheOtherProcessWasToldAMomentBefore() {
        Process first = new Process();
        Process second = new Process();
        first.call(true);
        second.call(false);
        assertEquals(new Bans(folder, "n1").names(), Set.of(), "put back by the later call");
        first.call(true);
        assertEquals(new Bans(folder, "n1").names(), Set.of("w1"), "taken out by the later call");
    }
}
