package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.ListKind;
import gorserill.common.Loop;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.routing.Core;
import gorserill.routing.JobSpec;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What one process of a node learned is what the next begins with. */
public class HandoverTest {
    private Path folder;
    private NodeConfig config;

    /** A process of the node, as far as it learns. */
    private final class Process {
        final List<Throwable> faults = new ArrayList<>();
        final long[] nanos = new long[1];
        final Loop loop = new Loop(faults::add, () -> nanos[0]);
        final Core core = new Core(loop, config.settings, 1, () -> {});
        final WorkerDirectory fleet =
                new WorkerDirectory(loop, core, null, List.of("a"), List.of("std4"), name -> false);
        final Handover handover;

        Process(String node, WorkerListing listing) {
            fleet.update(ListKind.WHOLE, listing);
            handover = new Handover(loop, core, fleet, folder, node);
        }

        /** Figures by workers' names. */
        Map<String, List<Double>> learned() {
            Map<String, List<Double>> byName = new HashMap<>();
            fleet.forEachListed((id, entry) ->
                    byName.put(entry.name(), core.learned().byWorker().get(id)));
            assertEquals(faults, List.of());
            return byName;
        }
    }

    @BeforeMethod
    public void anew() throws Exception {
        folder = Files.createTempDirectory("handover");
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 9);
        config = NodeConfig.read(new Fixture(nowhere, "", 15_000, "{}").environment);
    }

    private static WorkerListing.Entry entry(String name, long since) {
        return new WorkerListing.Entry(name, "127.0.0.1:9", "a", "std4", 0, "in_service", since);
    }

    /** A process with quotas that nobody used, so that prices fell: its jobs come too late to be sent. */
    private Process wiser() {
        Process first = new Process("n1", new WorkerListing(1, true, List.of(entry("w1", 0), entry("w2", 0))));
        for (int i = 0; i < 30; i++) {
            first.core.submit(
                    new Silent(),
                    new JobSpec("j" + i, 2, "/", "k", null, new byte[0]),
                    new RequestOptions(first.loop.now(), 1_000, true, 0, 0, 1, 0));
            first.nanos[0] += 200_000_000;
            first.loop.runDue();
        }
        return first;
    }

    @Test
    public void theNextProcessBeginsWithWhatTheLastOneLearned() {
        Process first = wiser();
        first.handover.writePeriodically(() -> true);
        Process next = new Process("n1", new WorkerListing(9, true, List.of(entry("w2", 0), entry("w1", 5))));
        assertNotEquals(next.learned().get("w2"), first.learned().get("w2"));
        List<Double> fresh = next.learned().get("w1");
        next.handover.restore();
        assertEquals(next.core.learned().shared(), first.core.learned().shared());
        assertEquals(next.learned().get("w2"), first.learned().get("w2"));
        assertEquals(next.learned().get("w1"), fresh, "it has started anew since");
        next.fleet.update(ListKind.CHANGES, new WorkerListing(10, false, List.of(entry("w3", 0))));
    }

    @Test
    public void whatIsOldTornOrAnothersIsLeftAlone() throws IOException {
        Process first = wiser();
        first.handover.writePeriodically(() -> true);
        Path file;
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, "*.learned")) {
            file = all.iterator().next();
        }
        String text = Files.readString(file);
        WorkerListing listing = new WorkerListing(1, true, List.of(entry("w1", 0), entry("w2", 0)));
        Process next = new Process("n1", listing);
        List<Double> before = next.core.learned().shared();
        Files.setLastModifiedTime(file, FileTime.fromMillis(System.currentTimeMillis() - 60_000));
        next.handover.restore();
        for (String wrong : List.of(
                "",
                "{",
                text.substring(0, text.length() / 2),
                "[1]",
                text.replace("\"n1\"", "\"n2\""),
                text.replaceAll("\"all\":\\[[^]]*", "\"all\":[1"))) {
            Files.writeString(file, wrong);
            next.handover.restore();
            assertEquals(next.core.learned().shared(), before, wrong);
        }
        next.learned();
    }

    /**
     * Danger: on a disk that is full every write fails, once a second; what each failed one left would keep
     * the disk full after room came back.
     */
    @Test
    public void writesThatFailLeaveNothingBehindAndTheFirstThatCanLands() throws IOException {
        Process first = wiser();
        Path file = folder.resolve(NodeConfig.fileKey("n1") + ".learned");
        Path inTheWay = Files.createDirectories(file.resolve("in the way"));
        first.handover.writePeriodically(() -> true);
        for (int i = 0; i < 5; i++) {
            first.nanos[0] += 1_000_000_000L;
            first.loop.runDue();
        }
        try (Stream<Path> all = Files.list(folder)) {
            assertEquals(all.map(Path::getFileName).toList(), List.of(file.getFileName()));
        }
        Files.delete(inTheWay);
        Files.delete(file);
        first.nanos[0] += 1_000_000_000L;
        first.loop.runDue();
        assertTrue(Files.isRegularFile(file), "written once there is room");
        try (Stream<Path> all = Files.list(folder)) {
            assertEquals(all.count(), 1L);
        }
    }

    @Test
    public void aProcessThatDoesNotServeWritesNothing() throws IOException {
        wiser().handover.writePeriodically(() -> false);
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
            assertEquals(all.iterator().hasNext(), false);
        }
    }

    private static final class Silent implements ResponseHandler {
        @Override
        public void served(byte[] result) {
            throw new AssertionError();
        }

        @Override
        public void refused(long waitMicros) {
            // As expected: nobody takes it in time.
        }

        @Override
        public void failed() {
            throw new AssertionError();
        }
    }
}
