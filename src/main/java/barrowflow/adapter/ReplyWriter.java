package barrowflow.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The reply to one batch, written record by record. */
final class ReplyWriter {
    static final int HEADER = 12;
    static final int RECORD = 24;
    static final int DIE = 20;
    static final int KEEP_INFORMED = 30;
    static final int ABORT_ATTEMPT = 10;
    static final int FINISH_ERROR = 50;
    static final int ASK_LOAD = 60;
    static final int PASS_ON = 70;
    static final int TURN_AWAY = 80;
    static final int INSTANCE = 100;
    static final int WRITE_PEER = 110;
    static final short ALL_PEERS = -1;
    static final int TIMER = 120;

    private ByteBuffer records = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private byte[] tail = new byte[0];
    private int number;
    private int named;

    void beginBatch(int batch) {
        number = batch;
        named = -1;
        tail = new byte[0];
        records.clear().position(HEADER);
    }

    /** Starts a record of an instance; its fields go at offsets from the place returned. */
    int addRecord(int instance, int code) {
        if (instance != named) {
            named = instance;
            records.putShort(append(INSTANCE) + 1, (short) instance);
        }
        return append(code);
    }

    private int append(int code) {
        int at = records.position();
        if (records.remaining() < RECORD) {
            byte[] larger = Arrays.copyOf(records.array(), 2 * records.capacity());
            records = ByteBuffer.wrap(larger).order(ByteOrder.LITTLE_ENDIAN).position(at);
        }
        Arrays.fill(records.array(), at, at + RECORD, (byte) 0);
        records.put(at, (byte) code).position(at + RECORD);
        return at;
    }

    ByteBuffer buffer() {
        return records;
    }

    void addDie(int instance, String what) {
        byte[] text = what.getBytes(StandardCharsets.UTF_8);
        int at = addRecord(instance, DIE);
        records.putInt(at + 1, appendTail(text)).putInt(at + 5, text.length);
    }

    /** Adds to the tail; gives the offset of what was added. */
    int appendTail(byte[] bytes) {
        int before = tail.length;
        tail = Arrays.copyOf(tail, before + bytes.length);
        System.arraycopy(bytes, 0, tail, before, bytes.length);
        return before;
    }

    void writeTo(OutputStream out) throws IOException {
        int body = records.position() - HEADER;
        records.putInt(0, number).putInt(4, body / RECORD).putInt(8, body + tail.length);
        int length = records.position();
        if (tail.length > 0) {
            byte[] whole = Arrays.copyOf(records.array(), length + tail.length);
            System.arraycopy(tail, 0, whole, length, tail.length);
            out.write(whole);
        } else {
            out.write(records.array(), 0, length);
        }
        out.flush();
    }
}
