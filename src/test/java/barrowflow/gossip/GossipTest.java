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

/** What is believed of messages that are lost, late, doubled, foreign, too long or no messages at all. */
class GossipTest {
    private static final long[] NAMES = {11, 22, 33};
    private final Gossip listener = new Gossip(3, 0.01, 1);

    private static byte[] told(Gossip by, double... taken) {
        return by.nextMessage(Arrays.copyOf(NAMES, taken.length), taken, new double[] {4, 0.5});
    }

    @Test
    void theLastWordCountsWhateverWasLostBefore() {
        Gossip speaker = new Gossip(3, 0.01, 2);
        byte[] first = told(speaker, 1, 2, 3);
        told(speaker, 9, 9, 9);
        byte[] third = told(speaker, 5);
        listener.receive(10, 1, first);
        assertEquals(3, listener.slotsTakenByPeers(33));
        listener.receive(20, 1, third);
        assertEquals(5, listener.slotsTakenByPeers(11));
        assertEquals(0, listener.slotsTakenByPeers(22), "it has nothing there any more");
        assertEquals(4, listener.peerJobsPerSecond(0));
        assertEquals(0.5, listener.peerJobsPerSecond(1));
    }

    @Test
    void whatComesLateOrTwiceChangesNothing() {
        Gossip speaker = new Gossip(3, 0.01, 2);
        byte[] first = told(speaker, 1);
        byte[] second = told(speaker, 2);
        listener.receive(10, 1, second);
        listener.receive(20, 1, first);
        listener.receive(30, 1, second);
        assertEquals(2, listener.slotsTakenByPeers(11));
        assertEquals(4, listener.peerJobsPerSecond(0));
    }

    @Test
    void aRestartedSpeakerIsHeardAndAnOldLifeCountsUntilItIsSilent() {
        listener.receive(10, 1, told(new Gossip(3, 0.01, 2), 1));
        listener.receive(20, 1, told(new Gossip(3, 0.01, 3), 4));
        assertEquals(5, listener.slotsTakenByPeers(11), "the old process may still have jobs out");
        listener.expireSilentPeers(3_000_015);
        assertEquals(4, listener.slotsTakenByPeers(11));
        listener.expireSilentPeers(9_000_000);
        assertEquals(0, listener.slotsTakenByPeers(11));
        assertEquals(0, listener.peerCount());
        assertEquals(0, listener.peerJobsPerSecond(0));
    }

    /** Danger: under ever new lives one sender could fill the memory, and count as many. */
    @Test
    void ofOneSenderTwoLivesAreKept() {
        for (int life = 10; life < 1_000; life++) {
            listener.receive(life, 1, told(new Gossip(3, 0.01, life), 1));
        }
        assertEquals(2, listener.peerCount());
        assertEquals(2, listener.slotsTakenByPeers(11));
        assertEquals(8, listener.peerJobsPerSecond(0));
    }

    @Test
    void whatIsNoMessageIsCountedAndLeft() {
        byte[] sound = told(new Gossip(3, 0.01, 2), 1, 2);
        byte[] otherBuild = sound.clone();
        otherBuild[0]++;
        byte[] tooManyTenants = sound.clone();
        tooManyTenants[10] = 100;
        byte[] cut = Arrays.copyOf(sound, sound.length - 1);
        byte[][] bad = {otherBuild, tooManyTenants, cut, {}, new byte[257], Arrays.copyOf(sound, 10)};
        for (byte[] message : bad) {
            listener.receive(10, 1, message);
        }
        listener.receive(10, 3, sound);
        listener.receive(10, -1, sound);
        assertEquals(bad.length + 2, listener.malformedMessages());
        assertEquals(0, listener.peerCount());
    }

    /** Whatever the bytes are, sums stay those of what is kept: all goes when the senders are silent. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomBytesLeaveNothingBehind(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] sound = told(new Gossip(3, 0.01, 2), 1, 2, 3);
        for (int i = 0; i < 3_000; i++) {
            byte[] message = random.nextBoolean() ? sound.clone() : new byte[random.nextInt(260)];
            for (int flips = random.nextInt(6); flips > 0 && message.length > 0; flips--) {
                message[random.nextInt(message.length)] = (byte) random.nextInt();
            }
            listener.receive(i, random.nextInt(5) - 1, message);
            for (long name : NAMES) {
                assertTrue(listener.slotsTakenByPeers(name) >= 0 && listener.peerJobsPerSecond(0) >= 0);
            }
        }
        assertTrue(listener.peerCount() <= 6);
        listener.expireSilentPeers(100_000_000);
        assertEquals(0, listener.slotsTakenByPeers(11) + listener.peerJobsPerSecond(0) + listener.peerCount());
    }

    /** Of more workers than a message names each is told in turn. */
    @Test
    void aLargeFleetIsToldInTurnsOfLawfulLength() {
        Gossip speaker = new Gossip(3, 0.01, 2);
        long[] names = LongStream.range(1, 201).toArray();
        double[] taken = new double[200];
        Arrays.fill(taken, 7);
        double[] tenants = new double[100_000];
        Arrays.fill(tenants, 1);
        for (int i = 0; i < 5; i++) {
            byte[] message = speaker.nextMessage(names, taken, tenants);
            assertTrue(message.length <= Gossip.MAX_MESSAGE_BYTES, message.length + " bytes");
            listener.receive(i, 1, message);
        }
        for (long name : names) {
            assertEquals(7, listener.slotsTakenByPeers(name), "worker " + name);
        }
        long[] others = LongStream.range(201, 401).toArray();
        for (int i = 1; i <= 20; i++) {
            listener.receive(i * 200_000, 1, speaker.nextMessage(others, taken, tenants));
        }
        assertEquals(0, listener.slotsTakenByPeers(1), "it has nothing there any more, though no message says so");
        assertEquals(7, listener.slotsTakenByPeers(201));
    }

    @Test
    void itTellsAsOftenAsItsPriceBearsAndNotAtAllWhereThatIsTooSeldom() {
        assertFalse(new Gossip(1, 0, 1).isMessageDue(0, 10, 1e6), "nobody to tell");
        double cheap = messages(new Gossip(3, 0.001, 1));
        double dear = messages(new Gossip(3, 0.02, 1));
        assertTrue(cheap > 2 * dear && dear > 1, cheap + " and " + dear + " in ten seconds");
        assertEquals(0, messages(new Gossip(100, 0.05, 1)), "each would come seconds after the last");
        double spent = dear * 2 * (11 + 4 * 18) / 256 * 0.02 / (10 * 20);
        assertTrue(spent < 0.0105, spent + " of the result");
    }

    private static double messages(Gossip speaker) {
        int sent = 0;
        for (long now = 0; now < 10_000_000; now += 10_000) {
            if (speaker.isMessageDue(now, 20, 400_000)) {
                speaker.nextMessage(new long[10], new double[10], new double[] {1, 1, 1, 1, 1, 1, 1, 1});
                sent++;
            }
        }
        return sent;
    }
}
