package barrowflow.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds the reply to one batch: a header, fixed-size records and a tail of variable-length data that records
 * refer to by offset.
 */
final class ReplyWriter {
    // Sizes in bytes: the header of a reply and a record.
    static final int HEADER = 12;
    static final int RECORD = 24;

    // Codes of action records; ALL_PEERS is the receiver of a WRITE_PEER that goes to every other instance.
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
    private int batchNumber;
    /** Instance of the last INSTANCE record, which applies to the records that follow it; -1 if none. */
    private int currentInstance;

    void beginBatch(int batch) {
        batchNumber = batch;
        currentInstance = -1;
        tail = new byte[0];
        records.clear().position(HEADER);
    }

    /** Appends an empty record for an instance and returns its position in the buffer. */
    int addRecord(int instance, int code) {
        if (instance != currentInstance) {
            currentInstance = instance;
            records.putShort(appendRecord(INSTANCE) + 1, (short) instance);
        }
        return appendRecord(code);
    }

    private int appendRecord(int code) {
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

    /** Appends a DIE record: the instance has failed with this message. */
    void addDie(int instance, String message) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int at = addRecord(instance, DIE);
        records.putInt(at + 1, appendTail(text)).putInt(at + 5, text.length);
    }

    /** Appends to the tail and returns the offset of the appended bytes. */
    int appendTail(byte[] bytes) {
        int offset = tail.length;
        tail = Arrays.copyOf(tail, offset + bytes.length);
        System.arraycopy(bytes, 0, tail, offset, bytes.length);
        return offset;
    }

    void writeTo(OutputStream out) throws IOException {
        int recordBytes = records.position() - HEADER;
        records.putInt(0, batchNumber).putInt(4, recordBytes / RECORD).putInt(8, recordBytes + tail.length);
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
