package barrowflow.adapter;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connects dispatchers to the simulator: reads batches of event records, passes the events to the dispatcher
 * instances and writes their actions as the reply to each batch. It makes no dispatching decisions itself.
 */
final class Adapter {
    // Sizes in bytes: the header of a batch, an event record, a worker entry of a list, the longest frame.
    private static final int HEADER = 20;
    private static final int RECORD = 48;
    private static final int ENTRY = 24;
    private static final int MAX_FRAME = 1 << 30;

    // Codes of event records.
    private static final int SHEET = 20;
    private static final int SETTLED = 30;
    private static final int RING = 40;
    private static final int ON = 50;
    private static final int KNOCK = 60;
    private static final int HINT_UPDATE = 70;
    private static final int CRASH_NOW = 80;
    private static final int ANNOUNCE = 100;
    private static final int WITHDRAWN = 120;
    private static final int UP = 130;
    private static final int MEMO = 90;
    private static final int STATUS_BACK = 110;
    // Values and bits within the fields of HINT_UPDATE and KNOCK.
    private static final int NOTE_STARTED = 1;
    private static final int HINT_VALID = 1;

    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Worker>> workerLists = new HashMap<>();
    private final ReplyWriter reply = new ReplyWriter();
    private long frameOffset;
    private ByteBuffer frame;
    private int tailOffset;
    private long now;

    /** Reads batches and writes a reply to each, until the end of input. */
    void run(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[8];
        for (int headerBytes; (headerBytes = in.readNBytes(header, 0, 8)) > 0; ) {
            if (headerBytes < 8) {
                throw new MalformedFrameException("input ends within a header", frameOffset + headerBytes);
            }
            ByteBuffer start = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int length = start.getInt(4);
            if (length < HEADER - 8 || length > MAX_FRAME) {
                throw new MalformedFrameException(
                        "invalid frame length " + Integer.toUnsignedString(length), frameOffset + 4);
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new MalformedFrameException("input ends within a frame", frameOffset + 8 + body.length);
            }
            frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
            reply.beginBatch(start.getInt(0));
            processBatch();
            reply.writeTo(out);
            frameOffset += 8 + length;
        }
    }

    private void processBatch() throws MalformedFrameException {
        int records = frame.getInt(0);
        now = frame.getLong(4);
        int firstRecord = HEADER - 8;
        if (records < 0 || records > (frame.capacity() - firstRecord) / RECORD) {
            throw new MalformedFrameException(
                    Integer.toUnsignedString(records) + " records do not fit in the frame length", frameOffset + 8);
        }
        tailOffset = firstRecord + records * RECORD;
        int instance = -1;
        for (int at = firstRecord; at < tailOffset; at += RECORD) {
            int code = frame.get(at) & 0xff;
            if (code == ON) {
                instance = frame.getShort(at + 1) & 0xffff;
            } else if (code == SHEET) {
                workerLists.put(frame.getInt(at + 1), readWorkerList(at + 5));
            } else if (instance < 0) {
                throw new MalformedFrameException("event record before any ON record", frameOffset + 8 + at);
            } else {
                handleEvent(instance, code, at);
            }
        }
    }

    /** Handles an event. An exception of the dispatcher ends its instance and is reported in a DIE record. */
    private void handleEvent(int instance, int code, int at) throws MalformedFrameException {
        try {
            applyEvent(instance, code, at);
        } catch (RuntimeException e) {
            instances.remove(instance);
            StackTraceElement[] trace = e.getStackTrace();
            reply.addDie(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void applyEvent(int instanceNumber, int code, int at) throws MalformedFrameException {
        if (code == UP) {
            instances.remove(instanceNumber);
            SettingsParser parser = new SettingsParser(readText(at + 9));
            instances.put(instanceNumber, new Instance(instanceNumber, reply, parser, frame.getLong(at + 1), now));
            return;
        }
        if (code == CRASH_NOW) {
            instances.remove(instanceNumber);
            return;
        }
        Instance instance = instances.get(instanceNumber);
        if (instance == null) {
            return;
        }
        switch (code) {
            case KNOCK -> handleRequest(instance, at);
            case SETTLED -> handleEnded(instance, at);
            case HINT_UPDATE -> {
                if (frame.get(at + 20) == NOTE_STARTED) {
                    instance.dispatcher.started(now, frame.getLong(at + 1), frame.get(at + 9) & 0xff);
                }
            }
            case WITHDRAWN -> instance.dispatcher.withdrawn(now, frame.getLong(at + 1));
            case RING -> instance.dispatcher.timer(now);
            case ANNOUNCE -> handleWorkerList(instance, at);
            case MEMO -> instance.dispatcher.heard(now, frame.getInt(at + 1), readBytes(at + 5));
            case STATUS_BACK ->
                instance.dispatcher.probed(
                        now,
                        workerId(at + 1),
                        reportValue(at + 13, instance.freeSlotsIndex),
                        reportValue(at + 13, instance.freeMemoryIndex));
            default -> {}
        }
    }

    private void handleRequest(Instance instance, int at) {
        instance.dispatcher.request(
                now,
                frame.getLong(at + 1),
                frame.getShort(at + 9) & 0xffff,
                instance.hasTenants ? frame.getShort(at + 11) & 0xffff : 0,
                frame.getLong(at + 13),
                frame.getInt(at + 21) & 0xffffffffL,
                frame.getFloat(at + 29),
                frame.getFloat(at + 33),
                Effect.SAFE,
                (frame.getShort(at + 37) & HINT_VALID) == 0 ? 0 : frame.getInt(at + 25) & 0xffffffffL,
                false);
    }

    private void handleEnded(Instance instance, int at) {
        Outcome outcome =
                switch (frame.getShort(at + 16) & 0xffff) {
                    case 0 -> Outcome.SERVED;
                    case 11 -> Outcome.REJECTED;
                    case 104 -> Outcome.RESET;
                    case 110 -> Outcome.TIMEOUT;
                    case 111 -> Outcome.CONNECT_FAILED;
                    case 114 -> Outcome.NOT_SENT;
                    case 125 -> Outcome.CANCELLED;
                    default -> Outcome.ERROR;
                };
        instance.dispatcher.ended(
                now,
                frame.getLong(at + 1),
                frame.get(at + 9) & 0xff,
                outcome,
                frame.get(at + 22) != 0,
                reportValue(at + 27, instance.freeSlotsIndex),
                reportValue(at + 27, instance.freeMemoryIndex));
    }

    /** A value of the load report at that offset, or NaN if it has none at the index. */
    private double reportValue(int at, int index) {
        return index >= 0 && index < (frame.get(at) & 0xff) ? frame.getFloat(at + 1 + 4 * index) : Double.NaN;
    }

    private void handleWorkerList(Instance instance, int at) throws MalformedFrameException {
        ListKind kind =
                switch (frame.get(at + 1)) {
                    case 1 -> ListKind.WHOLE;
                    case 2 -> ListKind.CHANGES;
                    case 3 -> ListKind.CACHED;
                    default -> ListKind.FAILED;
                };
        List<Worker> entries = List.of();
        if (kind != ListKind.FAILED) {
            entries = workerLists.get(frame.getInt(at + 10));
            if (entries == null) {
                throw new MalformedFrameException(
                        "reference to a worker list that was not defined", frameOffset + 8 + at + 10);
            }
        }
        instance.dispatcher.workers(now, kind, entries);
    }

    /** Reads the worker entries that a field refers to. */
    private List<Worker> readWorkerList(int field) throws MalformedFrameException {
        int count = frame.getInt(field + 4);
        int at = tailPosition(field, (long) count * ENTRY);
        List<Worker> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++, at += ENTRY) {
            WorkerState state =
                    switch (frame.get(at + 13)) {
                        case 1 -> WorkerState.READY;
                        case 2 -> WorkerState.DRAINING;
                        default -> WorkerState.GONE;
                    };
            entries.add(new Worker(
                    workerId(at + 1),
                    frame.get(at) & 0xff,
                    frame.getShort(at + 11) & 0xffff,
                    frame.getShort(at + 22) & 0xffff,
                    state,
                    frame.getLong(at + 14)));
        }
        return entries;
    }

    private long workerId(int at) {
        return (frame.getInt(at) & 0xffffffffL) | (frame.getShort(at + 4) & 0xffffL) << 32;
    }

    private byte[] readBytes(int field) throws MalformedFrameException {
        int at = tailPosition(field, frame.getInt(field + 4));
        return Arrays.copyOfRange(frame.array(), at, at + frame.getInt(field + 4));
    }

    private String readText(int field) throws MalformedFrameException {
        int length = frame.getInt(field + 4);
        return new String(frame.array(), tailPosition(field, length), length, StandardCharsets.UTF_8);
    }

    /** Position in the frame of the bytes that an offset field refers to; the offset counts from the tail. */
    private int tailPosition(int field, long length) throws MalformedFrameException {
        long at = tailOffset + (frame.getInt(field) & 0xffffffffL);
        if (length < 0 || at + length > frame.capacity()) {
            throw new MalformedFrameException("offset field refers to bytes beyond the frame", frameOffset + 8 + field);
        }
        return (int) at;
    }
}
