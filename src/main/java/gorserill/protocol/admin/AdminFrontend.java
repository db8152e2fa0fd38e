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
 * The operators' front, at the second address: a connection carries one call, a line, and its answer, a line
 * that starts with {@code ok} or {@code fail}, or the figures. Whoever says nothing, or no whole line, hears
 * so within a second.
 */
public final class AdminFrontend {
    private static final Logger LOG = Logger.getLogger(AdminFrontend.class.getName());
    private static final String OK = "ok\n";
    /** A call must be whole so long after connecting; answers are due within a second. */
    private static final long WHOLE_CALL = 600_000;
    /** So long a connection stays open for its caller to read the answer. */
    private static final long LINGER = 200_000;

    /** Something that operators can ask for. */
    @FunctionalInterface
    public interface Call {
        /**
         * Carries it out.
         *
         * @param about whom the call names; empty where it names nobody
         * @return the answer's lines
         */
        String answer(String about);

        /**
         * The same for what takes its time: the answer may come later, on the loop's thread, within a second
         * of the call.
         */
        default void answer(String about, Consumer<String> to) {
            to.accept(answer(about));
        }
    }

    /** Something that is carried out elsewhere, whose answer comes later. */
    public record DeferredCall(BiConsumer<String, Consumer<String>> action) implements Call {
        @Override
        public String answer(String about) {
            throw new UnsupportedOperationException("its answer comes later");
        }

        @Override
        public void answer(String about, Consumer<String> to) {
            action.accept(about, to);
        }
    }

    private final Loop loop;
    private final Map<String, Call> calls;
    private final ThrottledWarnings complaints;

    /** @param calls by name */
    public AdminFrontend(Loop loop, Map<String, Call> calls) {
        this.loop = loop;
        this.calls = Map.copyOf(calls);
        complaints = new ThrottledWarnings(loop, LOG, "operators' calls");
    }

    /** The answer to a call that was carried out, or cannot be. */
    public static String reply(boolean done, String whyNot) {
        return done ? OK : fail(whyNot);
    }

    private static String fail(String why) {
        return "fail " + why + "\n";
    }

    /** A peer for a connection just accepted. */
    public ChannelListener accept() {
        return new Caller();
    }

    private final class Caller implements ChannelListener {
        private Channel channel;
        private Deadline deadline;
        private boolean answered;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            deadline = loop.at(loop.now() + WHOLE_CALL, () -> turnAway("no whole line in time"));
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            Object first = ((List<Object>) messages).get(0);
            if (answered) {
                return;
            }
            if (first == LineCodec.TOO_LONG) {
                turnAway("a line of more than " + LineCodec.MAX_LINE + " bytes");
                return;
            }
            String[] words = ((String) first).split("\\s+", 2);
            Call call = calls.get(words[0]);
            if (call == null) {
                turnAway("no such call");
            } else {
                // It was a whole call: from here on the deadline is the answer's.
                loop.cancel(deadline);
                call.answer(words.length < 2 ? "" : words[1], this::answer);
            }
        }

        private void turnAway(String why) {
            complaints.add(why, channel.remoteAddress());
            answer(fail(why));
        }

        private void answer(String text) {
            if (answered) {
                return;
            }
            answered = true;
            loop.cancel(deadline);
            channel.writeAndLinger(text.getBytes(StandardCharsets.UTF_8));
            deadline = loop.at(loop.now() + LINGER, channel::close);
        }

        @Override
        public void closed() {
            answered = true;
            loop.cancel(deadline);
        }
    }
}
