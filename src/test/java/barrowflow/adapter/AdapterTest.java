package barrowflow.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the encoding of frames in both directions and the handling of invalid input. */
class AdapterTest {
    private static final String SETTINGS = """
        caps.max_attempts=4
        caps.may_cancel=true
        instances=2
        a.setting.nobody.knows=1
        obligations.cold_from=0.2
        obligations.warm_up_us=10000000
        obligations.fall_multiple=3.0
        obligations.fall_us=1000000
        registry_mode=on_request
        report.names=cpu_share,x0
        domain.report_x0=free_slots
        domain.tells_start=true
        domain.class_kind=-1
        domain.class_stretch=2.0
        request_classes.count=1
        request_classes.0.aim_us=200000
        request_classes.0.deadline_us=5000000
        request_classes.0.effect=non_idempotent
        request_classes.0.worth=1.0
        """;

    /** Builds batches in the format that the simulator sends. */
    private static final class Batch {
        final List<byte[]> records = new ArrayList<>();
        final ByteArrayOutputStream tail = new ByteArrayOutputStream();

        ByteBuffer record(int code) {
            byte[] bytes = new byte[48];
            bytes[0] = (byte) code;
            records.add(bytes);
            return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        }

        Batch on(int instance) {
            record(50).putShort(1, (short) instance);
            return this;
        }

        Batch up(String settings) {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            record(130).putLong(1, 42).putInt(9, tail.size()).putInt(13, text.length);
            tail.writeBytes(text);
            return this;
        }

        Batch oneWorker() {
            record(20).putInt(1, 3).putInt(5, tail.size()).putInt(9, 1);
            ByteBuffer entry = ByteBuffer.allocate(24).order(ByteOrder.LITTLE_ENDIAN);
            entry.putInt(1, 0x0a124a07).putShort(5, (short) 0x232b).put(13, (byte) 1);
            tail.writeBytes(entry.array());
            record(100).put(1, (byte) 3).putInt(10, 3);
            return this;
        }

        Batch knock(long id) {
            record(60).putLong(1, id).putInt(21, 5_000_000).putFloat(29, 1f);
            return this;
        }

        byte[] frame(int number, long now) {
            int length = 12 + 48 * records.size() + tail.size();
            ByteBuffer b = ByteBuffer.allocate(8 + length).order(ByteOrder.LITTLE_ENDIAN);
            b.putInt(number).putInt(length).putInt(records.size()).putLong(now);
            records.forEach(b::put);
            return b.put(tail.toByteArray()).array();
        }
    }

    private static byte[] join(byte[]... frames) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] f : frames) {
            out.writeBytes(f);
        }
        return out.toByteArray();
    }

    private static ByteBuffer run(byte[]... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter().run(new ByteArrayInputStream(join(frames)), out);
        return ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Offsets of the records with that code in the reply that begins at {@code at}. */
    private static List<Integer> records(ByteBuffer reply, int at, int code) {
        List<Integer> offsets = new ArrayList<>();
        for (int i = 0; i < reply.getInt(at + 4); i++) {
            if ((reply.get(at + 12 + 24 * i) & 0xff) == code) {
                offsets.add(at + 12 + 24 * i);
            }
        }
        return offsets;
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        ByteBuffer reply = run(new Batch().frame(7, 1));
        assertArrayEquals(new byte[] {7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, reply.array());
    }

    /**
     * Peer messages, probe responses and work hints reach the dispatcher; its own peer messages and probes
     * are written to the reply.
     */
    @Test
    void messagesAndProbesPassInBothDirections() throws IOException {
        String settings = SETTINGS + """
            caps.peers=true
            caps.probes=true
            prices.peer=0.001
            prices.probe=0.001
            report.how=pull
            """;
        Batch start = new Batch().on(5).up(settings).oneWorker().knock(1);
        start.record(60)
                .putLong(1, 2)
                .putInt(21, 5_000_000)
                .putInt(25, 900_000)
                .putFloat(29, 1f)
                .putShort(37, (short) 1);
        byte[] first = start.frame(1, 1_000_000);
        Batch timer = new Batch().on(5);
        timer.record(40);
        byte[] second = timer.frame(2, 1_100_000);
        ByteBuffer reply = run(first, second);
        int at = 12 + reply.getInt(8);
        List<Integer> peerMessages = records(reply, at, ReplyWriter.WRITE_PEER);
        assertEquals(1, peerMessages.size());
        assertEquals(-1, reply.getShort(peerMessages.get(0) + 1), "sent to all peers");
        int length = reply.getInt(peerMessages.get(0) + 7);
        int tail = at + 12 + 24 * reply.getInt(at + 4) + reply.getInt(peerMessages.get(0) + 3);
        byte[] message = new byte[length];
        reply.get(tail, message);
        assertTrue(length > 0 && length <= 256 && message[0] == 1);
        int probe = records(reply, at, ReplyWriter.ASK_LOAD).get(0);
        assertEquals(0x0a124a07, reply.getInt(probe + 1));

        String withoutFreeSlots = settings.replace("domain.report_x0=free_slots", "domain.report_x0=something");
        ByteBuffer none =
                run(new Batch().on(5).up(withoutFreeSlots).oneWorker().knock(1).frame(1, 1_000_000), second);
        assertEquals(
                List.of(),
                records(none, 12 + none.getInt(8), ReplyWriter.ASK_LOAD),
                "no probes if reports do not include free slots");

        Batch third = new Batch().on(5);
        third.record(110)
                .putInt(1, 0x0a124a07)
                .putShort(5, (short) 0x232b)
                .put(13, (byte) 2)
                .putFloat(14, 0.5f)
                .putFloat(18, 4f);
        message[1]++;
        third.record(90).putInt(1, 0).putInt(5, third.tail.size()).putInt(9, length);
        third.tail.writeBytes(message);
        ByteBuffer withPeer = run(first, second, third.frame(3, 1_100_001), timer.frame(4, 1_200_000));
        int last = withPeer.capacity() - 1;
        assertTrue(last > 0);
        int next = at + 12 + reply.getInt(at + 8);
        int fourth = next + 12 + withPeer.getInt(next + 8);
        assertEquals(List.of(), records(withPeer, fourth, ReplyWriter.ASK_LOAD), "no probes while a peer is heard");
    }

    @Test
    void aRequestIsHeldSentAndFailedAfterATimeout() throws IOException {
        byte[] start = new Batch().on(5).up(SETTINGS).oneWorker().frame(1, 1_000_000);
        ByteBuffer first = run(start);
        assertEquals(1, records(first, 0, ReplyWriter.KEEP_INFORMED).size());
        int timer = records(first, 0, ReplyWriter.TIMER).get(0);
        long due = first.getLong(timer + 1);
        assertTrue(due > 1_000_000 && due <= 1_050_001);
        Batch ask = new Batch().on(5).knock(1L << 40);
        Batch ring = new Batch().on(5);
        ring.record(40).putLong(1, first.getLong(timer + 9));
        ByteBuffer all = run(start, ask.frame(2, due), ring.frame(3, due));
        int second = 12 + first.getInt(8);
        assertEquals(0, all.getInt(second + 4), "the request is held");
        int third = second + 12;
        int sent = records(all, third, ReplyWriter.PASS_ON).get(0);
        assertEquals(1L << 40, all.getLong(sent + 1));
        assertEquals(0x0a124a07, all.getInt(sent + 9));
        assertEquals(0x232b, all.getShort(sent + 13));
        assertEquals(5, all.getShort(records(all, third, ReplyWriter.INSTANCE).get(0) + 1));

        Batch settled = new Batch().on(5);
        settled.record(30).putLong(1, 1L << 40).putShort(16, (short) 110);
        ByteBuffer end = run(start, ask.frame(2, due), ring.frame(3, due), settled.frame(4, due + 4_999_999));
        int fourth = third + 12 + all.getInt(third + 8);
        assertEquals(1, records(end, fourth, ReplyWriter.FINISH_ERROR).size(), "an unsafe job that may have run fails");
    }

    @Test
    void aCrashedInstanceLosesItsStateAndRepliesNothing() throws IOException {
        Batch kill = new Batch().on(5);
        kill.record(80);
        Batch after = new Batch().on(5).knock(1);
        byte[] start = new Batch().on(5).up(SETTINGS).oneWorker().frame(1, 1_000_000);
        ByteBuffer all = run(start, kill.frame(2, 1_000_001), after.frame(3, 9_000_000));
        assertEquals(0, all.getInt(all.capacity() - 12 + 4));
        ByteBuffer again = run(
                start,
                kill.frame(2, 1_000_001),
                new Batch().on(5).up(SETTINGS).oneWorker().knock(1).frame(3, 9_000_000));
        assertEquals(
                1,
                records(again, 12 + again.getInt(8) + 12, ReplyWriter.KEEP_INFORMED)
                        .size());
    }

    @Test
    void unknownRecordCodesAreIgnored() throws IOException {
        Batch odd = new Batch().on(5).up(SETTINGS);
        odd.record(222);
        odd.record(10);
        ByteBuffer reply = run(odd.frame(1, 1));
        assertEquals(0, records(reply, 0, ReplyWriter.DIE).size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"request_classes.0.effect", "obligations.cold_from", "instances"})
    void aMissingOrInvalidSettingIsNamedInTheDieRecord(String setting) throws IOException {
        for (String with : new String[] {"", setting + "=?\n"}) {
            String text = SETTINGS.replaceAll(setting.replace(".", "\\.") + "=.*\n", with);
            ByteBuffer reply = run(new Batch().on(5).up(text).frame(1, 1));
            int die = records(reply, 0, ReplyWriter.DIE).get(0);
            int tail = 12 + 24 * reply.getInt(4);
            String what = new String(
                    reply.array(), tail + reply.getInt(die + 1), reply.getInt(die + 5), StandardCharsets.UTF_8);
            assertTrue(what.contains(setting), what);
        }
    }

    @Test
    void anExceptionOfOneInstanceDoesNotAffectTheOthers() throws IOException {
        Batch batch = new Batch().on(1).up(SETTINGS).on(2).up(SETTINGS).on(1);
        batch.record(60).putLong(1, 9).putShort(9, (short) 77);
        batch.on(2).oneWorker().knock(3);
        ByteBuffer reply = run(batch.frame(1, 1));
        assertEquals(1, records(reply, 0, ReplyWriter.DIE).size());
        assertEquals(2, records(reply, 0, ReplyWriter.TIMER).size());
    }

    @Test
    void malformedFramesAreReportedWithTheirOffset() {
        byte[] good = new Batch().on(5).up(SETTINGS).frame(1, 1);
        assertEquals(
                "malformed frame: input ends within a header at byte 5",
                assertThrows(MalformedFrameException.class, () -> run(java.util.Arrays.copyOf(good, 5)))
                        .getMessage());
        assertEquals(
                "malformed frame: input ends within a frame at byte 40",
                assertThrows(MalformedFrameException.class, () -> run(java.util.Arrays.copyOf(good, 40)))
                        .getMessage());
        byte[] length = good.clone();
        length[7] = (byte) 0xff;
        assertTrue(assertThrows(MalformedFrameException.class, () -> run(length))
                .getMessage()
                .contains("at byte 4"));
        byte[] count = good.clone();
        count[9] = 7;
        assertTrue(assertThrows(MalformedFrameException.class, () -> run(count))
                .getMessage()
                .contains("at byte 8"));
        byte[] tail = good.clone();
        tail[20 + 48 + 13 + 2] = 1;
        assertTrue(assertThrows(MalformedFrameException.class, () -> run(tail))
                .getMessage()
                .contains("offset field refers to bytes beyond the frame"));
        Batch noInstance = new Batch().knock(1);
        assertTrue(assertThrows(MalformedFrameException.class, () -> run(good, noInstance.frame(2, 2)))
                .getMessage()
                .endsWith("at byte " + (good.length + 20)));
    }

    @Test
    void outcomesAndReportsReachTheDispatcher() throws IOException {
        byte[] start = new Batch().on(5).up(SETTINGS).oneWorker().frame(1, 1_000_000);
        Batch work = new Batch().on(5).knock(1);
        Batch ring = new Batch().on(5);
        ring.record(40);
        Batch started = new Batch().on(5);
        started.record(70).putLong(1, 1).put(20, (byte) 1);
        Batch served = new Batch().on(5);
        served.record(30)
                .putLong(1, 1)
                .put(22, (byte) 1)
                .put(27, (byte) 2)
                .putFloat(28, 1f)
                .putFloat(32, 0f);
        Batch next = new Batch().on(5).knock(2);
        Batch later = new Batch().on(5);
        later.record(40);
        ByteBuffer all = run(
                start,
                work.frame(2, 1_000_000),
                ring.frame(3, 1_051_000),
                started.frame(4, 1_055_000),
                served.frame(5, 1_255_000),
                next.frame(6, 1_256_000),
                later.frame(7, 1_310_000));
        int at = 0;
        int sends = 0;
        for (int reply = 1; reply <= 7; reply++) {
            sends += records(all, at, ReplyWriter.PASS_ON).size();
            assertEquals(reply < 3 ? 0 : 1, sends, "the second request waits, as the worker reported no free slot");
            at += 12 + all.getInt(at + 8);
        }
    }
}
