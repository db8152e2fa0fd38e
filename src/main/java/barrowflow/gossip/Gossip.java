package barrowflow.gossip;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * State exchange between the dispatchers of one deployment: each broadcasts the slots that its own jobs occupy
 * at workers and its job rate per tenant, and sums what it receives from the others. Messages may be lost,
 * delayed, duplicated or sent by another build. Each carries the sender's full state, or the next part of it
 * if it does not fit, so later messages repair a lost one. A message with an older sequence number than the
 * last one received is ignored.
 *
 * <p>Message format, little-endian: version (1 byte), incarnation of the sender (4), sequence number (4), flag
 * that is 1 if all of the sender's workers are listed (1), number of tenants (1); for each tenant its index (2)
 * and its jobs per second in sixteenths (2); then for each worker a word with a 24-bit hash of its name in
 * the low bits and its occupied slots in the upper 8 bits (4).
 *
 * <p>A received message never adds or removes a worker: its entries are only looked up for workers that
 * discovery listed. Memory is bounded by the number of dispatchers and by the size of a message.
 */
public final class Gossip {
    public static final int MAX_MESSAGE_BYTES = 256;

    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 11;
    private static final int ENTRY_BYTES = 4;
    /** Only the tenants with the highest job rates are included. */
    private static final int MAX_TENANTS = 16;

    /** Resolution of the encoded job rates: units per job per second. */
    private static final double RATE_UNITS_PER_JOB = 16;
    /** Limit on the workers stored for a dispatcher whose workers do not all fit in one message. */
    private static final int MAX_TAGS_PER_PEER = 4096;
    /** Upper limit on the cost of messages, as a fraction of the objective; their benefit is five times that. */
    private static final double MAX_COST_FRACTION = 0.01;
    /** At this many messages per job run time, the other dispatchers miss only the last few jobs. */
    private static final double MESSAGES_PER_RUN_TIME = 16;

    private static final long MIN_INTERVAL_MICROS = 20_000;
    /** After this time without a message, the state of a dispatcher is discarded. */
    private static final long PEER_TIMEOUT_MICROS = 3_000_000;

    /** During a restart, the ending process and its replacement are both counted. */
    private static final int MAX_INCARNATIONS = 2;

    /** Sender of a message: one process incarnation of a dispatcher. */
    private record Sender(int dispatcher, int incarnation) {}

    /** State last received from one sender. */
    private static final class Peer {
        int sequence;
        long receivedAt;
        final Map<Integer, Integer> slots = new HashMap<>();
        /** Time at which each worker was last listed; only used if not all workers fit in one message. */
        final Map<Integer, Long> listedAt = new HashMap<>();

        final Map<Integer, Integer> rates = new HashMap<>();
    }

    private final int dispatchers;
    private final double price;
    private final int incarnation;
    private final Map<Sender, Peer> peers = new HashMap<>();
    /** Occupied slots by worker tag, summed over all peers. */
    private final Map<Integer, Integer> totalSlots = new HashMap<>();
    /** Encoded job rates by tenant index, summed over all peers. */
    private final Map<Integer, Integer> totalRates = new HashMap<>();

    private int sequence;
    private long nextMessageAt;
    private int nextWorkerIndex;
    private int lastMessageBytes = HEADER_BYTES + ENTRY_BYTES * MAX_TENANTS / 2;
    private long malformedMessages;

    /**
     * @param price cost of sending one full message per job, as a fraction of the objective
     * @param incarnation differs between two processes that run the same dispatcher one after the other
     */
    public Gossip(int dispatchers, double price, int incarnation) {
        this.dispatchers = dispatchers;
        this.price = price;
        this.incarnation = incarnation;
    }

    /**
     * Whether a message should be sent now. If the cost limit allows messages only at intervals longer than a
     * job's run time, none are sent, as their content would be outdated.
     *
     * @param jobsPerSecond rate of jobs that arrive at this dispatcher
     * @param runMicros mean run time of a job, in microseconds
     */
    public boolean isMessageDue(long now, double jobsPerSecond, double runMicros) {
        if (dispatchers < 2 || now < nextMessageAt) {
            return false;
        }
        double cost = (dispatchers - 1) * (double) lastMessageBytes / MAX_MESSAGE_BYTES * price;
        double affordableInterval = 1e6 * cost / MAX_COST_FRACTION / Math.max(1e-3, jobsPerSecond);
        double interval =
                Math.max(MIN_INTERVAL_MICROS, Math.max(runMicros / MESSAGES_PER_RUN_TIME, affordableInterval));
        nextMessageAt = now + (long) Math.min(interval, PEER_TIMEOUT_MICROS);
        return interval <= Math.max(MIN_INTERVAL_MICROS, runMicros);
    }

    /**
     * Encodes a message with the current state of this dispatcher. If not all workers fit, the following
     * messages continue with the rest in turn.
     *
     * @param names names of the workers that run jobs of this dispatcher
     * @param slotsTaken occupied slots at each of these workers
     * @param jobsPerSecond job rate of each tenant at this dispatcher
     */
    public byte[] nextMessage(long[] names, double[] slotsTaken, double[] jobsPerSecond) {
        Integer[] byRate = new Integer[jobsPerSecond.length];
        Arrays.setAll(byRate, i -> i);
        Arrays.sort(byRate, (a, b) -> Double.compare(jobsPerSecond[b], jobsPerSecond[a]));
        int tenantCount = 0;
        while (tenantCount < Math.min(MAX_TENANTS, byRate.length) && jobsPerSecond[byRate[tenantCount]] > 0) {
            tenantCount++;
        }
        int capacity = (MAX_MESSAGE_BYTES - HEADER_BYTES - ENTRY_BYTES * tenantCount) / ENTRY_BYTES;
        int workerCount = Math.min(capacity, names.length);
        lastMessageBytes = HEADER_BYTES + ENTRY_BYTES * (tenantCount + workerCount);
        ByteBuffer out = ByteBuffer.allocate(lastMessageBytes).order(ByteOrder.LITTLE_ENDIAN);
        out.put(VERSION)
                .putInt(incarnation)
                .putInt(++sequence)
                .put((byte) (workerCount == names.length ? 1 : 0))
                .put((byte) tenantCount);
        for (int i = 0; i < tenantCount; i++) {
            out.putShort((short) (int) byRate[i]).putShort((short)
                    Math.min(0xffff, Math.round(jobsPerSecond[byRate[i]] * RATE_UNITS_PER_JOB)));
        }
        for (int i = 0; i < workerCount; i++, nextWorkerIndex++) {
            int index = Math.floorMod(workerCount < names.length ? nextWorkerIndex : i, names.length);
            out.putInt(tag(names[index]) | (int) Math.min(0xff, Math.round(slotsTaken[index])) << 24);
        }
        return out.array();
    }

    /**
     * Applies a message from another dispatcher. A message that is malformed or of another format version is
     * counted and ignored.
     */
    public void receive(long now, int from, byte[] message) {
        if (from < 0
                || from >= dispatchers
                || message.length < HEADER_BYTES
                || message.length > MAX_MESSAGE_BYTES
                || message[0] != VERSION
                || (message.length - HEADER_BYTES) % ENTRY_BYTES != 0
                || message[HEADER_BYTES - 1] < 0
                || HEADER_BYTES + ENTRY_BYTES * message[HEADER_BYTES - 1] > message.length) {
            malformedMessages++;
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(message).order(ByteOrder.LITTLE_ENDIAN);
        Sender sender = new Sender(from, in.getInt(1));
        int receivedSequence = in.getInt(5);
        Peer known = peers.get(sender);
        if (known != null && receivedSequence - known.sequence <= 0) {
            return;
        }
        Peer peer = known == null ? new Peer() : known;
        if (known == null) {
            evictOldestIncarnation(from);
            peers.put(sender, peer);
        }
        if (message[9] == 1 || peer.slots.size() > MAX_TAGS_PER_PEER) {
            clearSlots(peer);
        }
        peer.sequence = receivedSequence;
        peer.receivedAt = now;
        clearRates(peer);
        in.position(HEADER_BYTES);
        for (int i = 0; i < message[HEADER_BYTES - 1]; i++) {
            int tenant = in.getShort() & 0xffff;
            int rate = in.getShort() & 0xffff;
            if (peer.rates.putIfAbsent(tenant, rate) == null) {
                totalRates.merge(tenant, rate, Gossip::sumOrNull);
            }
        }
        while (in.hasRemaining()) {
            int entry = in.getInt();
            Integer previous = peer.slots.put(entry & 0xffffff, entry >>> 24);
            totalSlots.merge(entry & 0xffffff, (entry >>> 24) - (previous == null ? 0 : previous), Gossip::sumOrNull);
            if (message[9] != 1) {
                peer.listedAt.put(entry & 0xffffff, now);
            }
        }
        if (message[9] != 1) {
            dropUnlistedWorkers(peer, now);
        }
    }

    /**
     * Removes workers that the peer has not listed within the timeout. A peer whose workers do not all fit in
     * one message has no other way to report that it runs nothing at a worker any more.
     */
    private void dropUnlistedWorkers(Peer peer, long now) {
        peer.slots.entrySet().removeIf(e -> {
            boolean expired = now - peer.listedAt.getOrDefault(e.getKey(), 0L) > PEER_TIMEOUT_MICROS;
            if (expired) {
                totalSlots.merge(e.getKey(), -e.getValue(), Gossip::sumOrNull);
                peer.listedAt.remove(e.getKey());
            }
            return expired;
        });
    }

    /**
     * Removes the incarnation of a dispatcher that was silent longest, if the limit is reached. It bounds the
     * memory that a sender with constantly changing incarnation numbers can occupy.
     */
    private void evictOldestIncarnation(int dispatcher) {
        Sender oldest = null;
        int incarnations = 0;
        for (Map.Entry<Sender, Peer> e : peers.entrySet()) {
            if (e.getKey().dispatcher() == dispatcher) {
                incarnations++;
                oldest = oldest == null || e.getValue().receivedAt < peers.get(oldest).receivedAt ? e.getKey() : oldest;
            }
        }
        if (incarnations >= MAX_INCARNATIONS) {
            Peer evicted = peers.remove(oldest);
            clearSlots(evicted);
            clearRates(evicted);
        }
    }

    /** Returns null for a sum of 0, so that {@link Map#merge} removes the entry. */
    private static Integer sumOrNull(Integer a, Integer b) {
        return a + b == 0 ? null : Integer.valueOf(a + b);
    }

    private void clearSlots(Peer peer) {
        peer.slots.forEach((tag, taken) -> totalSlots.merge(tag, -taken, Gossip::sumOrNull));
        peer.slots.clear();
        peer.listedAt.clear();
    }

    private void clearRates(Peer peer) {
        peer.rates.forEach((tenant, rate) -> totalRates.merge(tenant, -rate, Gossip::sumOrNull));
        peer.rates.clear();
    }

    /** Discards the state of peers that have sent nothing within the timeout. */
    public void expireSilentPeers(long now) {
        peers.values().removeIf(peer -> {
            boolean silent = now - peer.receivedAt > PEER_TIMEOUT_MICROS;
            if (silent) {
                clearSlots(peer);
                clearRates(peer);
            }
            return silent;
        });
    }

    /** Number of senders whose state is held; two incarnations of a dispatcher count as two. */
    public int peerCount() {
        return peers.size();
    }

    /** Slots at a worker that jobs of the other dispatchers occupy, according to their messages. */
    public double slotsTakenByPeers(long name) {
        return totalSlots.getOrDefault(tag(name), 0);
    }

    /** Jobs per second of a tenant at the other dispatchers, according to their messages. */
    public double peerJobsPerSecond(int tenant) {
        return totalRates.getOrDefault(tenant, 0) / RATE_UNITS_PER_JOB;
    }

    /** Number of messages ignored as malformed or of another format version. */
    public long malformedMessages() {
        return malformedMessages;
    }

    /** Identifies a worker in messages: 24 bits of the hash of its name. */
    private static int tag(long name) {
        long mixed = (name ^ name >>> 29) * 0xbf58476d1ce4e5b9L;
        return (int) (mixed >>> 40);
    }
}
