package gorserill.measure;

import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.MalformedMessageException;
import gorserill.cluster.consensus.StableStorage;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.MemberConfig;
import gorserill.cluster.member.PieceHandler;
import gorserill.cluster.shared.Allowance;
import gorserill.cluster.shared.Budget;
import gorserill.cluster.shared.BudgetClient;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * What a leader and a member cost by the number of nodes, pieces and budgets: the members themselves in
 * virtual time, on one thread, over a wire that loses nothing and takes as long as is said. The voter that
 * leads is measured. Budgets are asked for in even parts by all nodes, either steadily or moving by up to
 * 30 % each second; or the owners of the pieces claim and end acts one after another, as fast as the log
 * takes them.
 *
 * <pre>java -cp target/test-classes:CLASSPATH gorserill.measure.LeaderCapacity ROUNDS VOTERS BEAT_MS PIECES
 *     steady|moving|acts BUDGETS WIRE_MS NODES...</pre>
 */
public final class LeaderCapacity {
    private static final long SETTLED = 30_000;
    private static final long MEASURED = 20_000;

    private record Event(long at, long number, Place place, Runnable then) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<String, Place> places = new HashMap<>();
    private final SplittableRandom random;
    private final long wire;
    private final boolean acts;
    private long now;
    private long number;
    private long done;

    private LeaderCapacity(String[] args, int seed) {
        random = new SplittableRandom(seed);
        wire = Long.parseLong(args[6]);
        acts = args[4].equals("acts");
    }

    private static final class Memory implements StableStorage {
        private final TreeMap<String, String> all = new TreeMap<>();

        @Override
        public void put(String key, String text) {
            all.put(key, text);
        }

        @Override
        public void remove(String key) {
            all.remove(key);
        }

        @Override
        public SortedMap<String, String> all() {
            return new TreeMap<>(all);
        }

        @Override
        public void flush() {}
    }

    /** A member and what is counted of it. */
    private final class Place implements ClusterEnvironment, PieceHandler {
        private final String name;
        private final Member member;
        private final List<Budget> budgets;
        private final BudgetClient spender;
        private List<Allowance> allowances = List.of();
        private final Map<String, long[]> sent = new TreeMap<>();
        private long received;
        private long receivedBytes;
        private double cpu;

        Place(String name, List<String> voters, List<String> pieces, long beat, List<Budget> budgets)
                throws MalformedMessageException {
            this.name = name;
            this.budgets = budgets;
            member = new Member(
                    new MemberConfig("capacity", name, name + "/1", 1, "1", voters, pieces, beat, 15 * beat, 0.05),
                    this,
                    voters.contains(name) ? new Memory() : null,
                    random.nextLong(),
                    this,
                    Set.of());
            spender = new BudgetClient(
                    budgets, this, member.budgetLink(), 3 * beat / 2, 15 * beat, false, all -> allowances = all);
            member.setSpender(spender);
        }

        void demand(int nodes, boolean moving) {
            for (Budget budget : budgets) {
                double even = budget.perSecond() / nodes;
                spender.updateDemand(budget.name(), moving ? even * (0.7 + 0.6 * random.nextDouble()) : even);
            }
            at(1_000, this, () -> demand(nodes, moving));
        }

        void forget() {
            sent.clear();
            received = 0;
            receivedBytes = 0;
            cpu = 0;
        }

        long[] sent() {
            long[] sum = new long[2];
            sent.values().forEach(kind -> {
                sum[0] += kind[0];
                sum[1] += kind[1];
            });
            return sum;
        }

        @Override
        public long millis() {
            return now;
        }

        @Override
        public void after(long millis, Runnable then) {
            at(Math.max(0, millis), this, then);
        }

        @Override
        public void send(String to, byte[] message) {
            String kind = new String(message, 9, Math.min(20, message.length - 9));
            long[] its = sent.computeIfAbsent(kind.substring(0, kind.indexOf('"')), k -> new long[2]);
            its[0]++;
            its[1] += message.length;
            Place other = places.get(to);
            at(wire, other, () -> {
                other.received++;
                other.receivedBytes += message.length;
                other.member.receive(message);
            });
        }

        @Override
        public void owns(String piece, long epoch, long last, SortedSet<Long> unknown) {
            if (acts) {
                act(piece, epoch, last + 1);
            }
        }

        private void act(String piece, long epoch, long act) {
            if (member.epoch(piece) != epoch) {
                return;
            }
            member.claim(piece, act, false, claimed -> {
                if (claimed == Member.ClaimResult.GRANTED) {
                    done++;
                    member.done(piece, epoch, act);
                }
                boolean next = claimed == Member.ClaimResult.GRANTED || claimed == Member.ClaimResult.REFUSED;
                after(next ? 0 : 50, () -> act(piece, epoch, next ? act + 1 : act));
            });
        }

        @Override
        public void handOver(String piece, long epoch, Runnable then) {
            then.run();
        }

        @Override
        public void lost(String piece, long epoch) {}
    }

    private void at(long millis, Place place, Runnable then) {
        events.add(new Event(now + millis, number++, place, then));
    }

    private void passUntil(long end) {
        while (events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            double from = Spread.cpu();
            event.then.run();
            event.place.cpu += Spread.cpu() - from;
        }
        now = end;
    }

    public static void main(String[] args) throws MalformedMessageException {
        System.out.println("| nodes | voters | pieces | budgets | leader: % of a core | sent: messages/s"
                + " | KB/s | received: messages/s | KB/s | a node: % of a core | sent KB/s | received KB/s"
                + " | of the budgets, allowed | log entries a second"
                + " | acts claimed a second |\n|" + " --- |".repeat(15));
        for (int arg = 7; arg < args.length; arg++) {
            int nodes = Integer.parseInt(args[arg]);
            Spread[] told = new Spread[11];
            Arrays.setAll(told, i -> new Spread());
            String kinds = "";
            for (int round = 0; round < Integer.parseInt(args[0]); round++) {
                kinds = new LeaderCapacity(args, round).round(nodes, args, told);
            }
            System.out.printf("| %d | %s | %s | %s |", nodes, args[1], args[3], args[5]);
            for (Spread spread : told) {
                System.out.print(" " + spread + " |");
            }
            System.out.println("\n  the leader sent, messages and bytes a second: " + kinds);
        }
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    private String round(int nodes, String[] args, Spread[] told) throws MalformedMessageException {
        List<String> voters = names("node-", Integer.parseInt(args[1]));
        List<Budget> budgets = names("team-", Integer.parseInt(args[5])).stream()
                .map(name -> new Budget(name, -1, -1, 27, 27, 20, nodes, true))
                .toList();
        for (String name : names("node-", nodes)) {
            places.put(
                    name,
                    new Place(
                            name,
                            voters,
                            names("piece-", Integer.parseInt(args[3])),
                            Long.parseLong(args[2]),
                            budgets));
        }
        for (Place place : places.values()) {
            // Danger: started at one moment, all would renew at one moment for good.
            at(random.nextLong(600), place, () -> {
                place.member.start();
                place.demand(nodes, args[4].equals("moving"));
            });
        }
        passUntil(SETTLED);
        Place leader = places.values().stream()
                .filter(p -> "leads".equals(p.member.voterStatus()))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("nobody leads"));
        places.values().forEach(Place::forget);
        long entries = leader.member.viewIndex();
        done = 0;
        passUntil(SETTLED + MEASURED);
        double seconds = MEASURED / 1e3;
        told[0].add(leader.cpu / seconds / 1e4);
        told[1].add(leader.sent()[0] / seconds);
        told[2].add(leader.sent()[1] / seconds / 1e3);
        told[3].add(leader.received / seconds);
        told[4].add(leader.receivedBytes / seconds / 1e3);
        List<Place> others =
                places.values().stream().filter(p -> !voters.contains(p.name)).toList();
        told[5].add(others.stream().mapToDouble(p -> p.cpu).average().orElse(0) / seconds / 1e4);
        told[6].add(others.stream().mapToLong(p -> p.sent()[1]).average().orElse(0) / seconds / 1e3);
        told[7].add(others.stream().mapToLong(p -> p.receivedBytes).average().orElse(0) / seconds / 1e3);
        told[8].add(places.values().stream()
                        .flatMap(p -> p.allowances.stream())
                        .mapToDouble(a -> a.share(now))
                        .sum()
                / Math.max(1, budgets.size()));
        told[9].add((leader.member.viewIndex() - entries) / seconds);
        told[10].add(done / seconds);
        StringBuilder kinds = new StringBuilder();
        leader.sent.forEach(
                (kind, its) -> kinds.append(String.format("%s %.0f %.0f; ", kind, its[0] / seconds, its[1] / seconds)));
        return kinds + "dropped " + leader.member.dropped();
    }
}
