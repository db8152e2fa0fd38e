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
 * What comes from the wire or the disk and can't be worked with: nothing breaks, nothing grows, it is told.
 */
public class BadInputTest {
    /** A voter alone; what it sends is kept. */
    private static final class Alone implements ClusterEnvironment, StableStorage, PieceHandler {
        final TreeMap<String, String> texts = new TreeMap<>();
        final List<byte[]> sent = new ArrayList<>();
        final Deque<Runnable> due = new ArrayDeque<>();
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
            due.add(then);
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
    public void datagramsOfAnyBytesAreDroppedAndCounted() throws MalformedMessageException {
        Alone alone = new Alone();
        Member member = alone.member();
        SplittableRandom random = new SplittableRandom(3);
        List<String> real = new ArrayList<>();
        alone.sent.forEach(bytes -> real.add(new String(bytes, StandardCharsets.UTF_8)));
        real.add("{\"kind\":\"raft\",\"raft\":{\"from\":\"n1\",\"term\":1,\"is\":\"append\"},"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        real.add("{\"kind\":\"view\",\"at\":1,\"as_of\":9,\"life\":3,\"pieces\":[{}],"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        real.add("{\"kind\":\"by\",\"to\":\"\",\"message\":{\"kind\":\"renew\",\"cluster\":\"c\"},"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        real.add("{\"kind\":\"seat\",\"seat\":{\"voter\":\"n0#3\",\"first\":[],\"since\":4},"
                + "\"cluster\":\"c\",\"from\":\"n1\"}");
        real.add("{\"kind\":\"ask\",\"id\":1,\"entry\":\"{}\",\"cluster\":\"c\",\"from\":\"n1\"}");
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = real.get(random.nextInt(real.size())).getBytes(StandardCharsets.UTF_8);
            for (int spoilt = random.nextInt(6); spoilt > 0; spoilt--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            member.receive(java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
        }
        assertTrue(
                member.dropped().values().stream().mapToInt(n -> n).sum() > 10_000,
                "" + member.dropped().size());
        assertTrue(
                member.dropped().size() <= 65,
                "reasons are bounded: " + member.dropped().size());
        assertEquals(member.owned(), List.of());
        member.receive("{\"kind\":\"view\",\"cluster\":\"other\",\"from\":\"n1\"}".getBytes(StandardCharsets.UTF_8));
        assertTrue(member.dropped().get("another cluster's") > 0);
    }

    @Test
    public void aStoreOverItsBoundFailsAtAFlushAndNamesTheBound() throws IOException {
        Path file = Files.createTempDirectory("shelf").resolve("voter.mv");
        try (DiskStorage shelf = new DiskStorage(file, 64 << 10)) {
            IOException full = expectThrows(IOException.class, () -> {
                for (int i = 0; i < 1_000; i++) {
                    shelf.put("log/" + i, Integer.toString(i).repeat(500));
                    shelf.flush();
                }
            });
            assertTrue(full.getMessage().contains("store_kb"), full.getMessage());
            assertTrue(Files.size(file) < 256 << 10, "it stays near its bound: " + Files.size(file));
        }
    }

    @Test
    public void aStoreThatCanNotBeReadNamesItsFileAndKey() throws IOException {
        Path file = Files.createTempDirectory("shelf").resolve("voter.mv");
        DiskStorage shelf = new DiskStorage(file, 1 << 20);
        shelf.put("term", "{\"term\":3}");
        shelf.flush();
        shelf.put("term", "lost");
        shelf.close();
        DiskStorage again = new DiskStorage(file, 1 << 20);
        assertEquals(again.all().get("term"), "{\"term\":3}", "what was flushed is there, and nothing more");
        IOException used = expectThrows(IOException.class, () -> new DiskStorage(file, 1 << 20));
        assertTrue(used.getMessage().contains(file.toString()), used.getMessage());
        again.close();
        Files.writeString(file, "this is no store at all, but a text that is long enough to be looked at");
        IOException spoilt = expectThrows(IOException.class, () -> new DiskStorage(file, 1 << 20));
        assertTrue(spoilt.getMessage().contains(file.toString()), spoilt.getMessage());
        Alone alone = new Alone();
        alone.texts.put("endpoint", "{\"name\":\"n0\",\"voting\":true}");
        alone.texts.put("members", "{\"index\":0,");
        MalformedMessageException bad = expectThrows(MalformedMessageException.class, alone::member);
        assertTrue(bad.getMessage().startsWith("members:"), bad.getMessage());
    }
}
