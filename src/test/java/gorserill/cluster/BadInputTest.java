package gorserill.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import gorserill.cluster.consensus.DiskStorage;
import gorserill.cluster.consensus.StableStorage;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.MemberConfig;
import gorserill.cluster.member.PieceHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * Malformed input from the network or the disk is discarded and counted or reported with its place, and does
 * not grow memory or storage without bound.
 */
public class BadInputTest {
    /** A member and voter without peers; sent messages are recorded. */
    private static final class IsolatedVoter implements ClusterEnvironment, StableStorage, PieceHandler {
        final TreeMap<String, String> texts = new TreeMap<>();
        final List<byte[]> sent = new ArrayList<>();
        final Deque<Runnable> tasks = new ArrayDeque<>();
        long now = 1_000;

        Member member() throws MalformedMessageException {
            Member member = new Member(
                    new MemberConfig("c", "n0", "p", 1, "1", List.of("n0", "n1", "n2"), List.of("x"), 100, 1_000, 0.05),
                    this,
                    this,
                    1,
                    this,
                    Set.of());
            member.start();
            return member;
        }

        @Override
        public long millis() {
            return now;
        }

        @Override
        public void after(long millis, Runnable then) {
            tasks.add(then);
        }

        @Override
        public void send(String to, byte[] message) {
            sent.add(message);
        }

        @Override
        public void put(String key, String text) {
            texts.put(key, text);
        }

        @Override
        public void remove(String key) {
            texts.remove(key);
        }

        @Override
        public SortedMap<String, String> all() {
            return texts;
        }

        @Override
        public void flush() {}

        @Override
        public void owns(String piece, long epoch, long last, SortedSet<Long> unknown) {}

        @Override
        public void handOver(String piece, long epoch, Runnable then) {}

        @Override
        public void lost(String piece, long epoch) {}
    }

    @Test
    public void corruptedDatagramsAreDroppedAndCounted() throws MalformedMessageException {
        IsolatedVoter isolated = new IsolatedVoter();
        Member member = isolated.member();
        SplittableRandom random = new SplittableRandom(3);
        List<String> samples = new ArrayList<>();
        isolated.sent.forEach(bytes -> samples.add(new String(bytes, StandardCharsets.UTF_8)));
        samples.add("{\"kind\":\"raft\",\"raft\":{\"from\":\"n1\",\"term\":1,\"is\":\"append\"},"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        samples.add("{\"kind\":\"view\",\"at\":1,\"as_of\":9,\"life\":3,\"pieces\":[{}],"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        samples.add("{\"kind\":\"by\",\"to\":\"\",\"message\":{\"kind\":\"renew\",\"cluster\":\"c\"},"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        samples.add("{\"kind\":\"seat\",\"seat\":{\"voter\":\"n0#3\",\"first\":[],\"since\":4},"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        samples.add("{\"kind\":\"ask\",\"id\":1,\"entry\":\"{}\",\"cluster\":\"c\",\"from\":\"n1\"}");
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = samples.get(random.nextInt(samples.size())).getBytes(StandardCharsets.UTF_8);
            for (int corrupted = random.nextInt(6); corrupted > 0; corrupted--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            member.receive(java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
        }
        assertTrue(
                member.dropped().values().stream().mapToInt(n -> n).sum() > 10_000,
                "" + member.dropped().size());
        assertTrue(
                member.dropped().size() <= 65,
                "number of distinct reasons: " + member.dropped().size());
        assertEquals(member.owned(), List.of());
        member.receive("{\"kind\":\"view\",\"cluster\":\"other\",\"from\":\"n1\"}".getBytes(StandardCharsets.UTF_8));
        assertTrue(member.dropped().get("another cluster's") > 0);
    }

    @Test
    public void flushBeyondTheSizeLimitFailsAndNamesTheSetting() throws IOException {
        Path file = Files.createTempDirectory("storage").resolve("voter.mv");
        try (DiskStorage storage = new DiskStorage(file, 64 << 10)) {
            IOException full = expectThrows(IOException.class, () -> {
                for (int i = 0; i < 1_000; i++) {
                    storage.put("log/" + i, Integer.toString(i).repeat(500));
                    storage.flush();
                }
            });
            assertTrue(full.getMessage().contains("store_kb"), full.getMessage());
            assertTrue(Files.size(file) < 256 << 10, "file size exceeds the limit by far: " + Files.size(file));
        }
    }

    @Test
    public void unreadableStoreIsReportedWithFileAndKey() throws IOException {
        Path file = Files.createTempDirectory("storage").resolve("voter.mv");
        DiskStorage storage = new DiskStorage(file, 1 << 20);
        storage.put("term", "{\"term\":3}");
        storage.flush();
        storage.put("term", "lost");
        storage.close();
        DiskStorage again = new DiskStorage(file, 1 << 20);
        assertEquals(again.all().get("term"), "{\"term\":3}", "only flushed changes are kept");
        IOException used = expectThrows(IOException.class, () -> new DiskStorage(file, 1 << 20));
        assertTrue(used.getMessage().contains(file.toString()), used.getMessage());
        again.close();
        Files.writeString(file, "this is not a store file, but a text that is long enough to be parsed as one");
        IOException corrupted = expectThrows(IOException.class, () -> new DiskStorage(file, 1 << 20));
        assertTrue(corrupted.getMessage().contains(file.toString()), corrupted.getMessage());
        IsolatedVoter isolated = new IsolatedVoter();
        isolated.texts.put("endpoint", "{\"name\":\"n0\",\"voting\":true}");
        isolated.texts.put("members", "{\"index\":0,");
        MalformedMessageException bad = expectThrows(MalformedMessageException.class, isolated::member);
        assertTrue(bad.getMessage().startsWith("members:"), bad.getMessage());
    }
}
