package barrowflow.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the handling of messages that are lost, late, duplicated, of another build, too long or malformed. */
class GossipTest {
    private static final long[] NAMES = {11, 22, 33};
    private final Gossip receiver = new Gossip(3, 0.01, 1);

    private static byte[] messageOf(Gossip sender, double... taken) {
        return sender.nextMessage(Arrays.copyOf(NAMES, taken.length), taken, new double[] {4, 0.5});
    }

    @Test
    void theLatestMessageReplacesTheStateDespiteLostMessages() {
        Gossip sender = new Gossip(3, 0.01, 2);
        byte[] first = messageOf(sender, 1, 2, 3);
        messageOf(sender, 9, 9, 9);
        byte[] third = messageOf(sender, 5);
        receiver.receive(10, 1, first);
        assertEquals(3, receiver.slotsTakenByPeers(33));
        receiver.receive(20, 1, third);
        assertEquals(5, receiver.slotsTakenByPeers(11));
        assertEquals(0, receiver.slotsTakenByPeers(22), "the sender no longer lists it");
        assertEquals(4, receiver.peerJobsPerSecond(0));
        assertEquals(0.5, receiver.peerJobsPerSecond(1));
    }

    @Test
    void lateAndDuplicateMessagesAreIgnored() {
        Gossip sender = new Gossip(3, 0.01, 2);
        byte[] first = messageOf(sender, 1);
        byte[] second = messageOf(sender, 2);
        receiver.receive(10, 1, second);
        receiver.receive(20, 1, first);
        receiver.receive(30, 1, second);
        assertEquals(2, receiver.slotsTakenByPeers(11));
        assertEquals(4, receiver.peerJobsPerSecond(0));
    }

    @Test
    void anOldIncarnationCountsUntilItsTimeout() {
        receiver.receive(10, 1, messageOf(new Gossip(3, 0.01, 2), 1));
        receiver.receive(20, 1, messageOf(new Gossip(3, 0.01, 3), 4));
        assertEquals(5, receiver.slotsTakenByPeers(11), "the old process may still have running jobs");
        receiver.expireSilentPeers(3_000_015);
        assertEquals(4, receiver.slotsTakenByPeers(11));
        receiver.expireSilentPeers(9_000_000);
        assertEquals(0, receiver.slotsTakenByPeers(11));
        assertEquals(0, receiver.peerCount());
        assertEquals(0, receiver.peerJobsPerSecond(0));
    }

    /** A sender with constantly changing incarnation numbers must neither fill the memory nor count many times. */
    @Test
    void atMostTwoIncarnationsOfADispatcherAreKept() {
        for (int incarnation = 10; incarnation < 1_000; incarnation++) {
            receiver.receive(incarnation, 1, messageOf(new Gossip(3, 0.01, incarnation), 1));
        }
        assertEquals(2, receiver.peerCount());
        assertEquals(2, receiver.slotsTakenByPeers(11));
        assertEquals(8, receiver.peerJobsPerSecond(0));
    }

    @Test
    void malformedMessagesAreCountedAndIgnored() {
        byte[] valid = messageOf(new Gossip(3, 0.01, 2), 1, 2);
        byte[] otherBuild = valid.clone();
        otherBuild[0]++;
        byte[] tooManyTenants = valid.clone();
        tooManyTenants[10] = 100;
        byte[] truncated = Arrays.copyOf(valid, valid.length - 1);
        byte[][] malformed = {otherBuild, tooManyTenants, truncated, {}, new byte[257], Arrays.copyOf(valid, 10)};
        for (byte[] message : malformed) {
            receiver.receive(10, 1, message);
        }
        receiver.receive(10, 3, valid);
        receiver.receive(10, -1, valid);
        assertEquals(malformed.length + 2, receiver.malformedMessages());
        assertEquals(0, receiver.peerCount());
    }

    /** For any received bytes the sums match the stored peers: they are 0 once all senders have timed out. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomBytesLeaveNoStateAfterTheTimeout(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] valid = messageOf(new Gossip(3, 0.01, 2), 1, 2, 3);
        for (int i = 0; i < 3_000; i++) {
            byte[] message = random.nextBoolean() ? valid.clone() : new byte[random.nextInt(260)];
            for (int flips = random.nextInt(6); flips > 0 && message.length > 0; flips--) {
                message[random.nextInt(message.length)] = (byte) random.nextInt();
            }
            receiver.receive(i, random.nextInt(5) - 1, message);
            for (long name : NAMES) {
                assertTrue(receiver.slotsTakenByPeers(name) >= 0 && receiver.peerJobsPerSecond(0) >= 0);
            }
        }
        assertTrue(receiver.peerCount() <= 6);
        receiver.expireSilentPeers(100_000_000);
        assertEquals(0, receiver.slotsTakenByPeers(11) + receiver.peerJobsPerSecond(0) + receiver.peerCount());
    }

    /** If a message can't list all workers, successive messages list them in turn. */
    @Test
    void aLargeFleetIsListedInTurnByMessagesOfLimitedLength() {
        Gossip sender = new Gossip(3, 0.01, 2);
        long[] names = LongStream.range(1, 201).toArray();
        double[] taken = new double[200];
        Arrays.fill(taken, 7);
        double[] tenants = new double[100_000];
        Arrays.fill(tenants, 1);
        for (int i = 0; i < 5; i++) {
            byte[] message = sender.nextMessage(names, taken, tenants);
            assertTrue(message.length <= Gossip.MAX_MESSAGE_BYTES, message.length + " bytes");
            receiver.receive(i, 1, message);
        }
        for (long name : names) {
            assertEquals(7, receiver.slotsTakenByPeers(name), "worker " + name);
        }
        long[] others = LongStream.range(201, 401).toArray();
        for (int i = 1; i <= 20; i++) {
            receiver.receive(i * 200_000, 1, sender.nextMessage(others, taken, tenants));
        }
        assertEquals(0, receiver.slotsTakenByPeers(1), "not listed within the timeout");
        assertEquals(7, receiver.slotsTakenByPeers(201));
    }

    @Test
    void messagesAreAsFrequentAsTheirCostAllowsAndNoneIfTooSeldom() {
        assertFalse(new Gossip(1, 0, 1).isMessageDue(0, 10, 1e6), "no other dispatcher");
        double cheap = messagesInTenSeconds(new Gossip(3, 0.001, 1));
        double expensive = messagesInTenSeconds(new Gossip(3, 0.02, 1));
        assertTrue(cheap > 2 * expensive && expensive > 1, cheap + " and " + expensive + " in ten seconds");
        assertEquals(
                0,
                messagesInTenSeconds(new Gossip(100, 0.05, 1)),
                "the affordable interval is longer than the run time");
        double spent = expensive * 2 * (11 + 4 * 18) / 256 * 0.02 / (10 * 20);
        assertTrue(spent < 0.0105, spent + " of the result");
    }

    private static double messagesInTenSeconds(Gossip sender) {
        int sent = 0;
        for (long now = 0; now < 10_000_000; now += 10_000) {
            if (sender.isMessageDue(now, 20, 400_000)) {
                sender.nextMessage(new long[10], new double[10], new double[] {1, 1, 1, 1, 1, 1, 1, 1});
                sent++;
            }
        }
        return sent;
    }
}
