package gorserill.protocol.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorserill.common.Deadlines.Deadline;
import gorserill.routing.Load;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import gorserill.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * Asks one worker for its load, {@code GET /load}, one call at a time on a connection of its own, kept for
 * the next one. What is refused, late, cut off, too long or no report counts as nothing told.
 */
final class HttpProbe implements ChannelListener {
    private static final JsonFactory JSON = new JsonFactory();
    /** A worker that waits longer tells of a past. */
    private static final long PATIENCE = 1_000_000;

    private static final int MAX_REPORT = 4 * 1024;

    private final HttpWorker.Config config;
    private final String name;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Transport.PendingConnection connecting;
    private Channel channel;
    private Deadline deadline;
    private HttpHead head;
    private Consumer<Load> asked;
    private boolean over;

    HttpProbe(HttpWorker.Config config, String name) {
        this.config = config;
        this.name = name;
    }

    /** Whether it can be asked: no call is open, and its connection was not lost. */
    boolean free() {
        return asked == null && !over;
    }

    boolean over() {
        return over;
    }

    /** @param answer is told once, {@link Load#NONE} where nothing was learned */
    void ask(InetSocketAddress address, Consumer<Load> answer) {
        asked = answer;
        config.loop().cancel(deadline);
        deadline = config.loop().at(config.loop().now() + PATIENCE, this::end);
        if (channel != null) {
            write();
        } else {
            connecting = config.transport().connect(address, config.chain(), this);
        }
    }

    private void write() {
        channel.write(HttpMessageBuilder.request("GET", "/load", name).bytes());
    }

    @Override
    public void opened(Channel opened) {
        channel = opened;
        if (over) {
            channel.close();
        } else {
            write();
        }
    }

    @Override
    public void connectFailed(String why) {
        end();
    }

    @Override
    public void closed() {
        end();
    }

    @Override
    @SuppressWarnings("unchecked")
    public void received(Object messages) {
        for (Object message : (List<Object>) messages) {
            if (over) {
                return;
            } else if (message instanceof HttpHead answer && asked != null) {
                head = answer;
                body.reset();
            } else if (message instanceof byte[] data && body.size() + data.length <= MAX_REPORT) {
                body.writeBytes(data);
            } else if (message == HttpCodec.END_OF_RESPONSE && asked != null) {
                answered();
            } else if (message != PARTIAL_MESSAGE) {
                end();
            }
        }
    }

    private void answered() {
        Load load = head.status() == 200 ? parseReport(body.toByteArray(), config.loadFields()) : Load.NONE;
        if (head.closes()) {
            end(load);
        } else {
            config.loop().cancel(deadline);
            deadline = config.loop().at(config.loop().now() + config.idleTimeoutMicros(), this::end);
            tell(load);
        }
    }

    /** A report that can't be read is none. */
    static Load parseReport(byte[] text, LoadFieldNames names) {
        try (JsonParser json = JSON.createParser(text)) {
            return json.nextToken() == JsonToken.START_OBJECT ? JobEvent.parseLoad(json, names) : Load.NONE;
        } catch (IOException e) {
            return Load.NONE;
        }
    }

    void end() {
        end(Load.NONE);
    }

    private void end(Load load) {
        if (!over) {
            over = true;
            config.loop().cancel(deadline);
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                connecting.cancel();
            }
            tell(load);
        }
    }

    private void tell(Load load) {
        Consumer<Load> told = asked;
        asked = null;
        if (told != null) {
            told.accept(load);
        }
    }
}
