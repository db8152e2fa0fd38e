package gorserill.measure;

import barrowflow.gossip.Gossip;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import gorserill.protocol.discovery.WorkerListing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Bytes and processor time of what a node hears and keeps, at the sizes of docs/CAPACITY.md: discovery's
 * listings, messages between nodes, the cluster's register.
 *
 * <pre>java -cp target/test-classes:CLASSPATH gorserill.measure.WireCapacity ROUNDS</pre>
 */
public final class WireCapacity {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int TENANTS = 140;
    /** Repeats within a round, after as many that are not counted. */
    private static final int TIMES = 20;

    /** What is measured; it may fail as reading may. */
    private interface Act {
        void run() throws IOException;
    }

    private WireCapacity() {}

    public static void main(String[] args) throws IOException {
        int rounds = Integer.parseInt(args[0]);
        listings(rounds);
        gossip(rounds);
        register(rounds);
    }

    private static Spread cost(int rounds, Act act) throws IOException {
        Spread spread = new Spread();
        for (int round = 0; round <= rounds; round++) {
            double from = Spread.cpu();
            for (int i = 0; i < TIMES; i++) {
                act.run();
            }
            if (round > 0) {
                spread.add((Spread.cpu() - from) / TIMES);
            }
        }
        return spread;
    }

    private static void listings(int rounds) throws IOException {
        System.out.println("\n| listing of workers | bytes | us to parse |\n| --- | --- | --- |");
        for (int workers : new int[] {1, 10, 100, 588, 1_000, 1_667, 3_500, 10_000}) {
            byte[] text = listing(workers);
            Spread took = cost(rounds, () -> {
                try (JsonParser json = JSON.createParser(text)) {
                    json.nextToken();
                    WorkerListing.read(json);
                }
            });
            System.out.printf("| %d | %d | %s |%n", workers, text.length, took);
        }
    }

    private static byte[] listing(int workers) {
        StringBuilder text = new StringBuilder("{\"index\":123456,\"snapshot\":true,\"endpoints\":[");
        for (int i = 0; i < workers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"worker-")
                    .append(10_000 + i)
                    .append("\",\"address\":\"10.")
                    .append(i % 17)
                    .append('.')
                    .append(i / 256)
                    .append('.')
                    .append(i % 256)
                    .append(":3000\",\"zone\":\"zone-")
                    .append(i % 17)
                    .append("\",\"type\":\"kind-")
                    .append(i % 3)
                    .append("\",\"group\":")
                    .append(i % 6)
                    .append(",\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":1764633600000}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** A node of so many has its part of 69,000 tasks out, spread by chance over 10,000 workers. */
    private static void gossip(int rounds) throws IOException {
        System.out.println("\n| nodes | workers named by each | bytes a message | messages to name all |"
                + " workers kept of one other | us to make | us to take in |\n|" + " --- |".repeat(7));
        for (int nodes : new int[] {3, 6, 12, 18, 36, 120}) {
            long[] names = names(69_000 / nodes);
            double[] taken = new double[names.length];
            Arrays.fill(taken, 2);
            double[] rates = new double[TENANTS];
            Arrays.fill(rates, 27.0 / nodes);
            Gossip teller = new Gossip(nodes, 0, 1);
            Gossip hearer = new Gossip(nodes, 0, 2);
            int[] bytes = {0};
            Spread making = cost(rounds, () -> bytes[0] = teller.nextMessage(names, taken, rates).length);
            int named = (bytes[0] - 11 - 4 * 16) / 4;
            int turns = (names.length + named - 1) / named;
            List<byte[]> messages = new ArrayList<>();
            for (int i = 0; i < turns; i++) {
                messages.add(teller.nextMessage(names, taken, rates));
            }
            long[] now = {0};
            int[] next = {0};
            // As many as name all, within the 3 s that a word counts; then the same again.
            for (byte[] message : messages) {
                hearer.receive(++now[0], 1, message);
            }
            int kept = 0;
            for (long name : names) {
                kept += hearer.slotsTakenByPeers(name) > 0 ? 1 : 0;
            }
            next[0] = 1_000_000;
            Spread taking =
                    cost(rounds, () -> hearer.receive(++now[0], 1, numbered(messages.get(next[0] % turns), ++next[0])));
            System.out.printf(
                    "| %d | %d | %d | %d | %d | %s | %s |%n",
                    nodes, names.length, bytes[0], turns, kept, making, taking);
        }
    }

    private static byte[] numbered(byte[] message, int number) {
        byte[] copy = message.clone();
        for (int i = 0; i < 4; i++) {
            copy[5 + i] = (byte) (number >> 8 * i);
        }
        return copy;
    }

    private static long[] names(int tasks) {
        SplittableRandom random = new SplittableRandom(7);
        Set<Long> names = new HashSet<>();
        for (int i = 0; i < tasks; i++) {
            names.add(1 + random.nextLong(10_000));
        }
        return names.stream().mapToLong(name -> name).toArray();
    }

    private static void register(int rounds) throws IOException {
        System.out.println("\n| nodes | pieces | budgets | bytes of snapshot | ms to write it"
                + " | us: a claim and its end | us: a node comes | us: a node goes | us: a word on a budget |\n|"
                + " --- |".repeat(9));
        for (int nodes : new int[] {18, 36, 120, 1_000, 10_000}) {
            for (int pieces : new int[] {64, 1_000}) {
                for (int budgets : new int[] {0, 64, TENANTS}) {
                    if (nodes < 1_000 || pieces == 64 && budgets == 0) {
                        register(rounds, nodes, pieces, budgets);
                    }
                }
            }
        }
    }

    private static void register(int rounds, int nodes, int pieces, int budgets) throws IOException {
        Register register = new Register(Set.of());
        List<String> names = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            names.add("piece-" + i);
        }
        long[] index = {0};
        // Only the first 120 nodes can own pieces: no more of the pieces' names than that would be kept.
        for (int i = 0; i < nodes; i++) {
            open(register, ++index[0], i, i < 120 ? names : List.of());
        }
        for (int i = 0; i < nodes; i++) {
            for (int b = 0; b < budgets; b++) {
                register.apply(
                        ++index[0],
                        Register.text(new Entry.RequestBudget("node-" + i, i + 1, "team-" + b, 1_200 / nodes, 0, 1)));
            }
        }
        Spread writing = cost(rounds, register::snapshot);
        long[] act = {0};
        long epoch = register.pieces().get("piece-0").epoch;
        Spread claim = cost(rounds, () -> {
            register.apply(++index[0], Register.text(new Entry.Claim("piece-0", epoch, ++act[0], false)));
            register.apply(++index[0], Register.text(new Entry.Done("piece-0", epoch, act[0])));
        });
        Spread say = budgets == 0
                ? new Spread()
                : cost(
                        rounds,
                        () -> register.apply(
                                ++index[0],
                                Register.text(new Entry.RequestBudget(
                                        "node-5", 6, "team-1", (int) (index[0] % 9), 0, index[0]))));
        Spread comes = new Spread();
        Spread goes = new Spread();
        for (int round = 0; round < rounds * 3; round++) {
            long life = register.nodes().get("node-9").life;
            double from = Spread.cpu();
            register.apply(++index[0], Register.text(new Entry.Close("node-9", life, Register.NOT_HEARD)));
            double gone = Spread.cpu();
            open(register, ++index[0], 9, names);
            goes.add(gone - from);
            comes.add(Spread.cpu() - gone);
        }
        System.out.printf(
                "| %d | %d | %d | %d | %.1f | %s | %s | %s | %s |%n",
                nodes, pieces, budgets, register.snapshot().length(), writing.last() / 1e3, claim, comes, goes, say);
    }

    private static void open(Register register, long index, int node, List<String> pieces) {
        register.apply(
                index,
                Register.text(
                        new Entry.Open("node-" + node, "process-" + index, index, "6958985", pieces, Entry.FORMAT)));
    }
}
