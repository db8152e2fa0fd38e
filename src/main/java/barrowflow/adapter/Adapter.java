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

/** Reads batches of events, hands them to the dispatchers and writes their actions. Decides nothing. */
final class Adapter {
    private static final int HEADER = 20;
    private static final int RECORD = 48;
    private static final int ENTRY = 24;
    private static final int MAX_FRAME = 1 << 30;

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
    private static final int NOTE_STARTED = 1;
    private static final int HINT_VALID = 1;

    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Worker>> sheets = new HashMap<>();
    private final ReplyWriter reply = new ReplyWriter();
    private long frameAt;
    private ByteBuffer frame;
    private int tailAt;
    private long now;

    /** Answers each batch until the end of input. */
    void run(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[8];
        for (int got; (got = in.readNBytes(header, 0, 8)) > 0; ) {
            if (got < 8) {
                throw new MalformedFrameException("input ends within a header", frameAt + got);
            }
            ByteBuffer start = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int length = start.getInt(4);
            if (length < HEADER - 8 || length > MAX_FRAME) {
                throw new MalformedFrameException("impossible length " + Integer.toUnsignedString(length), frameAt + 4);
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new MalformedFrameException("input ends within a frame", frameAt + 8 + body.length);
            }
            frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
            reply.beginBatch(start.getInt(0));
            batch();
            reply.writeTo(out);
            frameAt += 8 + length;
        }
    }

    private void batch() throws MalformedFrameException {
        int records = frame.getInt(0);
        now = frame.getLong(4);
        int first = HEADER - 8;
        if (records < 0 || records > (frame.capacity() - first) / RECORD) {
            throw new MalformedFrameException(
                    Integer.toUnsignedString(records) + " records do not fit the length", frameAt + 8);
        }
        tailAt = first + records * RECORD;
        int on = -1;
        for (int at = first; at < tailAt; at += RECORD) {
            int code = frame.get(at) & 0xff;
            if (code == ON) {
                on = frame.getShort(at + 1) & 0xffff;
            } else if (code == SHEET) {
                sheets.put(frame.getInt(at + 1), entries(at + 5));
            } else if (on < 0) {
                throw new MalformedFrameException("an event before any instance is named", frameAt + 8 + at);
            } else {
                guarded(on, code, at);
            }
        }
    }

    /** An exception in the decisions ends that instance and is told, never swallowed. */
    private void guarded(int on, int code, int at) throws MalformedFrameException {
        try {
            event(on, code, at);
        } catch (RuntimeException e) {
            instances.remove(on);
            StackTraceElement[] trace = e.getStackTrace();
            reply.addDie(on, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void event(int on, int code, int at) throws MalformedFrameException {
        if (code == UP) {
            instances.remove(on);
            SettingsParser parser = new SettingsParser(text(at + 9));
            instances.put(on, new Instance(on, reply, parser, frame.getLong(at + 1), now));
            return;
        }
        if (code == CRASH_NOW) {
            instances.remove(on);
            return;
        }
        Instance instance = instances.get(on);
        if (instance == null) {
            return;
        }
        switch (code) {
            case KNOCK -> knock(instance, at);
            case SETTLED -> settled(instance, at);
            case HINT_UPDATE -> {
                if (frame.get(at + 20) == NOTE_STARTED) {
                    instance.dispatcher.started(now, frame.getLong(at + 1), frame.get(at + 9) & 0xff);
                }
            }
            case WITHDRAWN -> instance.dispatcher.withdrawn(now, frame.getLong(at + 1));
            case RING -> instance.dispatcher.timer(now);
            case ANNOUNCE -> announce(instance, at);
            case MEMO -> instance.dispatcher.heard(now, frame.getInt(at + 1), bytes(at + 5));
            case STATUS_BACK ->
                instance.dispatcher.probed(
                        now,
                        workerId(at + 1),
                        report(at + 13, instance.freeSlots),
                        report(at + 13, instance.freeMemory));
            default -> {}
        }
    }

    private void knock(Instance to, int at) {
        to.dispatcher.request(
                now,
                frame.getLong(at + 1),
                frame.getShort(at + 9) & 0xffff,
                to.tenants ? frame.getShort(at + 11) & 0xffff : 0,
                frame.getLong(at + 13),
                frame.getInt(at + 21) & 0xffffffffL,
                frame.getFloat(at + 29),
                frame.getFloat(at + 33),
                Effect.SAFE,
                (frame.getShort(at + 37) & HINT_VALID) == 0 ? 0 : frame.getInt(at + 25) & 0xffffffffL,
                false);
    }

    private void settled(Instance to, int at) {
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
        to.dispatcher.ended(
                now,
                frame.getLong(at + 1),
                frame.get(at + 9) & 0xff,
                outcome,
                frame.get(at + 22) != 0,
                report(at + 27, to.freeSlots),
                report(at + 27, to.freeMemory));
    }

    private double report(int at, int place) {
        return place >= 0 && place < (frame.get(at) & 0xff) ? frame.getFloat(at + 1 + 4 * place) : Double.NaN;
    }

    private void announce(Instance to, int at) throws MalformedFrameException {
        ListKind kind =
                switch (frame.get(at + 1)) {
                    case 1 -> ListKind.WHOLE;
                    case 2 -> ListKind.CHANGES;
                    case 3 -> ListKind.CACHED;
                    default -> ListKind.FAILED;
                };
        List<Worker> entries = List.of();
        if (kind != ListKind.FAILED) {
            entries = sheets.get(frame.getInt(at + 10));
            if (entries == null) {
                throw new MalformedFrameException("a list that was never defined", frameAt + 8 + at + 10);
            }
        }
        to.dispatcher.workers(now, kind, entries);
    }

    private List<Worker> entries(int field) throws MalformedFrameException {
        int count = frame.getInt(field + 4);
        int at = tail(field, (long) count * ENTRY);
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

    private byte[] bytes(int field) throws MalformedFrameException {
        int at = tail(field, frame.getInt(field + 4));
        return Arrays.copyOfRange(frame.array(), at, at + frame.getInt(field + 4));
    }

    private String text(int field) throws MalformedFrameException {
        int length = frame.getInt(field + 4);
        return new String(frame.array(), tail(field, length), length, StandardCharsets.UTF_8);
    }

    /** The place of what a field points at in the tail. */
    private int tail(int field, long length) throws MalformedFrameException {
        long at = tailAt + (frame.getInt(field) & 0xffffffffL);
        if (length < 0 || at + length > frame.capacity()) {
            throw new MalformedFrameException("a field that points beyond the frame", frameAt + 8 + field);
        }
        return (int) at;
    }
}
