package gorserill.protocol.admin;

import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.common.ThrottledWarnings;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Serves operators' commands on the admin address. A connection carries one command line and its reply: a line that
 * starts with {@code ok} or {@code fail}, or the requested figures. A client that sends no complete line gets a
 * failure reply within a second.
 */
public final class AdminFrontend {
    private static final Logger LOG = Logger.getLogger(AdminFrontend.class.getName());
    private static final String OK = "ok\n";
    /** Time from connecting to a complete line; replies are due within one second. */
    private static final long CALL_TIMEOUT_MICROS = 600_000;
    /** How long a connection stays open for its client to read the reply. */
    private static final long LINGER_MICROS = 200_000;

    /** A command that operators can give. */
    @FunctionalInterface
    public interface Call {
        /**
         * Runs the command.
         *
         * @param argument what the command applies to; empty if it names nothing
         * @return the lines of the reply
         */
        String answer(String argument);

        /**
         * Runs a command that may take longer: the reply may be given later, on the loop's thread, within one second
         * of the call.
         */
        default void answer(String argument, Consumer<String> callback) {
            callback.accept(answer(argument));
        }
    }

    /** A command that is carried out elsewhere and replies later. */
    public record DeferredCall(BiConsumer<String, Consumer<String>> action) implements Call {
        @Override
        public String answer(String argument) {
            throw new UnsupportedOperationException("the reply is given asynchronously");
        }

        @Override
        public void answer(String argument, Consumer<String> callback) {
            action.accept(argument, callback);
        }
    }

    private final Loop loop;
    private final Map<String, Call> calls;
    private final ThrottledWarnings warnings;

    /** @param calls commands by name */
    public AdminFrontend(Loop loop, Map<String, Call> calls) {
        this.loop = loop;
        this.calls = Map.copyOf(calls);
        warnings = new ThrottledWarnings(loop, LOG, "operators' calls");
    }

    /** Formats the reply to a command that succeeded or failed. */
    public static String reply(boolean done, String reason) {
        return done ? OK : fail(reason);
    }

    private static String fail(String reason) {
        return "fail " + reason + "\n";
    }

    /** Creates the peer of a connection that was just accepted. */
    public ChannelListener accept() {
        return new OperatorPeer();
    }

    private final class OperatorPeer implements ChannelListener {
        private Channel channel;
        private Deadline deadline;
        private boolean replied;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            deadline = loop.at(loop.now() + CALL_TIMEOUT_MICROS, () -> reject("no whole line in time"));
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            Object first = ((List<Object>) messages).get(0);
            if (replied) {
                return;
            }
            if (first == LineCodec.TOO_LONG) {
                reject("a line of more than " + LineCodec.MAX_LINE_BYTES + " bytes");
                return;
            }
            String[] words = ((String) first).split("\\s+", 2);
            Call call = calls.get(words[0]);
            if (call == null) {
                reject("no such call");
            } else {
                // The line is complete, so its deadline no longer applies; the command is responsible for replying in
                // time.
                loop.cancel(deadline);
                call.answer(words.length < 2 ? "" : words[1], this::sendReply);
            }
        }

        private void reject(String reason) {
            warnings.add(reason, channel.remoteAddress());
            sendReply(fail(reason));
        }

        private void sendReply(String text) {
            if (replied) {
                return;
            }
            replied = true;
            loop.cancel(deadline);
            channel.writeAndLinger(text.getBytes(StandardCharsets.UTF_8));
            deadline = loop.at(loop.now() + LINGER_MICROS, channel::close);
        }

        @Override
        public void closed() {
            replied = true;
            loop.cancel(deadline);
        }
    }
}
