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
 * Queries the load of one worker with {@code GET /load}, one request at a time on a dedicated persistent connection.
 * A refused connection, a timeout, a truncated or oversized response and an unreadable report all yield
 * {@link Load#NONE}.
 */
final class HttpProbe implements ChannelListener {
    private static final JsonFactory JSON = new JsonFactory();
    /** Time limit for a probe in microseconds; a later report would describe a load that is out of date. */
    private static final long PROBE_TIMEOUT_MICROS = 1_000_000;

    private static final int MAX_REPORT_BYTES = 4 * 1024;

    private final HttpWorker.Config config;
    private final String name;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Transport.PendingConnection connecting;
    private Channel channel;
    private Deadline deadline;
    private HttpHead head;
    private Consumer<Load> pending;
    private boolean closed;

    HttpProbe(HttpWorker.Config config, String name) {
        this.config = config;
        this.name = name;
    }

    /** Whether a probe can be sent: none is pending and the connection has not been lost. */
    boolean isIdle() {
        return pending == null && !closed;
    }

    boolean isClosed() {
        return closed;
    }

    /** @param callback called exactly once, with {@link Load#NONE} if no load was obtained */
    void query(InetSocketAddress address, Consumer<Load> callback) {
        pending = callback;
        config.loop().cancel(deadline);
        deadline = config.loop().at(config.loop().now() + PROBE_TIMEOUT_MICROS, this::close);
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
        if (closed) {
            channel.close();
        } else {
            write();
        }
    }

    @Override
    public void connectFailed(String why) {
        close();
    }

    @Override
    public void closed() {
        close();
    }

    @Override
    @SuppressWarnings("unchecked")
    public void received(Object messages) {
        for (Object message : (List<Object>) messages) {
            if (closed) {
                return;
            } else if (message instanceof HttpHead response && pending != null) {
                head = response;
                body.reset();
            } else if (message instanceof byte[] data && body.size() + data.length <= MAX_REPORT_BYTES) {
                body.writeBytes(data);
            } else if (message == HttpCodec.END_OF_RESPONSE && pending != null) {
                onResponseEnd();
            } else if (message != PARTIAL_MESSAGE) {
                close();
            }
        }
    }

    private void onResponseEnd() {
        Load load = head.status() == 200 ? parseReport(body.toByteArray(), config.loadFields()) : Load.NONE;
        if (head.closes()) {
            close(load);
        } else {
            config.loop().cancel(deadline);
            deadline = config.loop().at(config.loop().now() + config.idleTimeoutMicros(), this::close);
            report(load);
        }
    }

    /** Parses a load report; returns {@link Load#NONE} if it is malformed. */
    static Load parseReport(byte[] text, LoadFieldNames names) {
        try (JsonParser json = JSON.createParser(text)) {
            return json.nextToken() == JsonToken.START_OBJECT ? JobEvent.parseLoad(json, names) : Load.NONE;
        } catch (IOException e) {
            return Load.NONE;
        }
    }

    void close() {
        close(Load.NONE);
    }

    private void close(Load load) {
        if (!closed) {
            closed = true;
            config.loop().cancel(deadline);
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                connecting.cancel();
            }
            report(load);
        }
    }

    private void report(Load load) {
        Consumer<Load> callback = pending;
        pending = null;
        if (callback != null) {
            callback.accept(load);
        }
    }
}
