package barrowflow.gossip;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * What dispatchers tell one another of the slots that their jobs take at workers and of their tenants' use.
 * Messages may be lost, late, doubled or come from another build: each tells all that its sender has out, so
 * the next one mends what one missed, and an older one than was heard changes nothing.
 *
 * <p>Form, little-endian: version (1 byte), life of the sender (4), number within it (4), 1 where the workers
 * are all that there are (1), count of tenants (1), for each its place (2) and its jobs a second in
 * sixteenths (2), then for each worker the low 24 bits of its name's hash and the slots taken (4).
 *
 * <p>Danger: nothing that is heard makes a worker known or unknown; it is only ever looked up by workers that
 * discovery named. What is kept is bounded by the number of dispatchers and by what a message can hold.
 */
public final class Gossip {
    /** A message holds so many bytes at most. */
    public static final int MAX_MESSAGE_BYTES = 256;

    private static final byte VERSION = 1;
    private static final int HEAD = 11;
    private static final int ITEM = 4;
    /** The busiest so many tenants are told of. */
    private static final int TENANTS = 16;

    private static final double RATE_UNIT = 16;
    /** Of one dispatcher that can't name all of its workers in a message, so many are kept. */
    private static final int MOST_TAGS = 4096;
    /** So much of the result is spent on messages at most: what they gain is five times that. */
    private static final double SPEND = 0.01;
    /** Told this often while a job runs, the others know all but the last few jobs. */
    private static final double IN_A_JOB = 16;
    /** Microseconds; no message is sent sooner after the last. */
    private static final long SOONEST = 20_000;
    /** A dispatcher that is silent for so long, in microseconds, counts for nothing. */
    private static final long SILENT = 3_000_000;

    /** So many lives of a dispatcher are heard: one that ends, beside the one that takes its place. */
    private static final int LIVES = 2;

    /** Who tells: a life of a dispatcher. */
    private record Speaker(int from, int life) {}

    /** What one other dispatcher told last. */
    private static final class Peer {
        int number;
        long at;
        final Map<Integer, Integer> slots = new HashMap<>();
        /** When each of them was named last; kept where not all fit in one message. */
        final Map<Integer, Long> namedAt = new HashMap<>();

        final Map<Integer, Integer> rates = new HashMap<>();
    }

    private final int dispatchers;
    private final double price;
    private final int life;
    private final Map<Speaker, Peer> peers = new HashMap<>();
    /** Sums over all that are heard. */
    private final Map<Integer, Integer> slots = new HashMap<>();

    private final Map<Integer, Integer> rates = new HashMap<>();
    private int number;
    private long nextAt;
    private int turn;
    private int bytes = HEAD + ITEM * TENANTS / 2;
    private long malformed;

    /**
     * @param price of one full message for each job, in parts of the result
     * @param life differs between two lives of one dispatcher
     */
    public Gossip(int dispatchers, double price, int life) {
        this.dispatchers = dispatchers;
        this.price = price;
        this.life = life;
    }

    /**
     * Whether it is time to tell. Where its price bears a message less often than jobs come and go, none is.
     *
     * @param jobsPerSecond that come to this dispatcher
     * @param run of the mean job, microseconds
     */
    public boolean isMessageDue(long now, double jobsPerSecond, double run) {
        if (dispatchers < 2 || now < nextAt) {
            return false;
        }
        double cost = (dispatchers - 1) * (double) bytes / MAX_MESSAGE_BYTES * price;
        double borne = 1e6 * cost / SPEND / Math.max(1e-3, jobsPerSecond);
        double pause = Math.max(SOONEST, Math.max(run / IN_A_JOB, borne));
        nextAt = now + (long) Math.min(pause, SILENT);
        return pause <= Math.max(SOONEST, run);
    }

    /**
     * A message of what this dispatcher has out; where not all fits, the next one goes on with the rest.
     *
     * @param names of workers with own jobs
     * @param taken slots taken at each of them
     * @param perSecond each tenant's jobs a second here
     */
    public byte[] nextMessage(long[] names, double[] taken, double[] perSecond) {
        Integer[] busiest = new Integer[perSecond.length];
        Arrays.setAll(busiest, i -> i);
        Arrays.sort(busiest, (a, b) -> Double.compare(perSecond[b], perSecond[a]));
        int tenants = 0;
        while (tenants < Math.min(TENANTS, busiest.length) && perSecond[busiest[tenants]] > 0) {
            tenants++;
        }
        int room = (MAX_MESSAGE_BYTES - HEAD - ITEM * tenants) / ITEM;
        int workers = Math.min(room, names.length);
        bytes = HEAD + ITEM * (tenants + workers);
        ByteBuffer out = ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
        out.put(VERSION)
                .putInt(life)
                .putInt(++number)
                .put((byte) (workers == names.length ? 1 : 0))
                .put((byte) tenants);
        for (int i = 0; i < tenants; i++) {
            out.putShort((short) (int) busiest[i]).putShort((short)
                    Math.min(0xffff, Math.round(perSecond[busiest[i]] * RATE_UNIT)));
        }
        for (int i = 0; i < workers; i++, turn++) {
            int at = Math.floorMod(workers < names.length ? turn : i, names.length);
            out.putInt(tag(names[at]) | (int) Math.min(0xff, Math.round(taken[at])) << 24);
        }
        return out.array();
    }

    /** Takes in a message; what can't be one, or is of another version, is counted and left. */
    public void receive(long now, int from, byte[] message) {
        if (from < 0
                || from >= dispatchers
                || message.length < HEAD
                || message.length > MAX_MESSAGE_BYTES
                || message[0] != VERSION
                || (message.length - HEAD) % ITEM != 0
                || message[HEAD - 1] < 0
                || HEAD + ITEM * message[HEAD - 1] > message.length) {
            malformed++;
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN);
        Speaker speaker = new Speaker(from, in.getInt(1));
        int no = in.getInt(5);
        Peer known = peers.get(speaker);
        if (known != null && no - known.number <= 0) {
            return;
        }
        Peer peer = known == null ? new Peer() : known;
        if (known == null) {
            makeRoom(from);
            peers.put(speaker, peer);
        }
        if (message[9] == 1 || peer.slots.size() > MOST_TAGS) {
            forget(peer);
        }
        peer.number = no;
        peer.at = now;
        forgetRates(peer);
        in.position(HEAD);
        for (int i = 0; i < message[HEAD - 1]; i++) {
            int tenant = in.getShort() & 0xffff;
            int rate = in.getShort() & 0xffff;
            if (peer.rates.putIfAbsent(tenant, rate) == null) {
                rates.merge(tenant, rate, Gossip::sum);
            }
        }
        while (in.hasRemaining()) {
            int item = in.getInt();
            Integer before = peer.slots.put(item & 0xffffff, item >>> 24);
            slots.merge(item & 0xffffff, (item >>> 24) - (before == null ? 0 : before), Gossip::sum);
            if (message[9] != 1) {
                peer.namedAt.put(item & 0xffffff, now);
            }
        }
        if (message[9] != 1) {
            forgetUnnamed(peer, now);
        }
    }

    /** Danger: who can't name all of its workers names none to say that it has nothing there any more. */
    private void forgetUnnamed(Peer peer, long now) {
        peer.slots.entrySet().removeIf(e -> {
            boolean old = now - peer.namedAt.getOrDefault(e.getKey(), 0L) > SILENT;
            if (old) {
                slots.merge(e.getKey(), -e.getValue(), Gossip::sum);
                peer.namedAt.remove(e.getKey());
            }
            return old;
        });
    }

    /** Danger: whoever sends under ever new lives must not fill the memory; the longest silent one goes. */
    private void makeRoom(int from) {
        Speaker oldest = null;
        int lives = 0;
        for (Map.Entry<Speaker, Peer> e : peers.entrySet()) {
            if (e.getKey().from() == from) {
                lives++;
                oldest = oldest == null || e.getValue().at < peers.get(oldest).at ? e.getKey() : oldest;
            }
        }
        if (lives >= LIVES) {
            Peer gone = peers.remove(oldest);
            forget(gone);
            forgetRates(gone);
        }
    }

    private static Integer sum(Integer a, Integer b) {
        return a + b == 0 ? null : Integer.valueOf(a + b);
    }

    private void forget(Peer peer) {
        peer.slots.forEach((tag, taken) -> slots.merge(tag, -taken, Gossip::sum));
        peer.slots.clear();
        peer.namedAt.clear();
    }

    private void forgetRates(Peer peer) {
        peer.rates.forEach((tenant, rate) -> rates.merge(tenant, -rate, Gossip::sum));
        peer.rates.clear();
    }

    /** Forgets those that have been silent for too long. */
    public void expireSilentPeers(long now) {
        peers.values().removeIf(peer -> {
            boolean silent = now - peer.at > SILENT;
            if (silent) {
                forget(peer);
                forgetRates(peer);
            }
            return silent;
        });
    }

    /** How many others are heard at present, a dispatcher's two lives counted as two. */
    public int peerCount() {
        return peers.size();
    }

    /** Slots that the others' jobs take at a worker, as far as is heard. */
    public double slotsTakenByPeers(long name) {
        return slots.getOrDefault(tag(name), 0);
    }

    /** The others' jobs a second of a tenant, as far as is heard. */
    public double peerJobsPerSecond(int tenant) {
        return rates.getOrDefault(tenant, 0) / RATE_UNIT;
    }

    /** Messages that were none of this build's. */
    public long malformedMessages() {
        return malformed;
    }

    private static int tag(long name) {
        long mixed = (name ^ name >>> 29) * 0xbf58476d1ce4e5b9L;
        return (int) (mixed >>> 40);
    }
}
