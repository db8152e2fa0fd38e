package barrowflow.adapter;

import barrowflow.Choice;
import barrowflow.Dispatcher;
import barrowflow.Dispatcher.Settings;

/** One dispatcher instance of the simulator; encodes the dispatcher's actions as records of the reply. */
final class Instance implements Dispatcher.Actions {
    private final int number;
    private final ReplyWriter reply;
    /** Position of the free slots among the values of a load report, or -1. */
    final int freeSlotsIndex;
    /** Position of the free memory among the values of a load report, or -1. */
    final int freeMemoryIndex;

    final boolean hasTenants;
    final Dispatcher dispatcher;

    Instance(int number, ReplyWriter reply, SettingsParser parser, long seed, long now) {
        this.number = number;
        this.reply = reply;
        freeSlotsIndex = parser.reportIndex("free_slots");
        freeMemoryIndex = parser.reportIndex("free_memory");
        Settings settings = parser.settings();
        hasTenants = !settings.tenants().isEmpty();
        dispatcher = new Choice(settings, seed, now, this);
    }

    @Override
    public void send(long request, long worker) {
        int at = reply.addRecord(number, ReplyWriter.PASS_ON);
        reply.buffer().putLong(at + 1, request).putInt(at + 9, (int) worker).putShort(at + 13, (short) (worker >>> 32));
    }

    @Override
    public void cancel(long request, int attempt) {
        int at = reply.addRecord(number, ReplyWriter.ABORT_ATTEMPT);
        reply.buffer().putLong(at + 1, request).put(at + 9, (byte) attempt);
    }

    @Override
    public void refuse(long request, long wait) {
        int at = reply.addRecord(number, ReplyWriter.TURN_AWAY);
        reply.buffer().putLong(at + 1, request).putInt(at + 9, (int) wait);
    }

    @Override
    public void fail(long request) {
        reply.buffer().putLong(reply.addRecord(number, ReplyWriter.FINISH_ERROR) + 1, request);
    }

    @Override
    public void timerAt(long time) {
        int at = reply.addRecord(number, ReplyWriter.TIMER);
        reply.buffer().putLong(at + 1, time).putLong(at + 9, time);
    }

    @Override
    public void watchList() {
        reply.buffer().put(reply.addRecord(number, ReplyWriter.KEEP_INFORMED) + 1, (byte) 1);
    }

    @Override
    public void tell(byte[] message) {
        int at = reply.addRecord(number, ReplyWriter.WRITE_PEER);
        int offset = reply.appendTail(message);
        reply.buffer()
                .putShort(at + 1, ReplyWriter.ALL_PEERS)
                .putInt(at + 3, offset)
                .putInt(at + 7, message.length);
    }

    @Override
    public void probe(long worker) {
        int at = reply.addRecord(number, ReplyWriter.ASK_LOAD);
        reply.buffer().putInt(at + 1, (int) worker).putShort(at + 5, (short) (worker >>> 32));
    }
}
