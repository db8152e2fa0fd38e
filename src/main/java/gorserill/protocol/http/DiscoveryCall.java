package gorserill.protocol.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import gorserill.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChain;

/** A connection to discovery that carries one call after another and reports the results to a {@link Listener}. */
final class DiscoveryCall implements ChannelListener {
    private static final Logger LOG = Logger.getLogger(DiscoveryCall.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    private static final int OK = 200;
    /** Status by which discovery rejects a call because it is overloaded or cannot answer. */
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Time after the end of sending in which a response that was already under way arrives, in microseconds. */
    private static final long CLOSE_TIMEOUT_MICROS = 2_000_000;

    /** Receives the result of each call on the loop's thread; it is not called after {@link #close}. */
    interface Listener {
        void opened(DiscoveryCall call);

        /** @param closes whether the connection cannot be used for another call */
        void answered(DiscoveryCall call, WorkerListing listing, boolean closes);

        void rejected(DiscoveryCall call);

        /** The call was not answered within its timeout. */
        void timedOut(DiscoveryCall call);

        void failed(DiscoveryCall call, String why);
    }

    private final Loop loop;
    private final Listener listener;
    private final int number;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Transport.PendingConnection connecting;
    /** Start of the current call, including the connect for the first one, on the loop's clock. */
    private long startedAt;

    private Channel channel;
    private Deadline deadline;
    private HttpHead head;
    private boolean sent;
    private boolean closingGracefully;
    private boolean closed;
    /** Listings below this version are outdated: another call brought newer data while this one was pending. */
    private long outdatedBelow;

    /**
     * Opens the connection.
     *
     * @param number consecutive number of the connection, for logs
     */
    DiscoveryCall(
            Loop loop,
            Transport transport,
            FilterChain chain,
            InetSocketAddress address,
            int number,
            Listener listener) {
        this.loop = loop;
        this.listener = listener;
        this.number = number;
        startedAt = loop.now();
        connecting = transport.connect(address, chain, this);
        deadline = loop.at(
                startedAt + CallPace.CONNECT_TIMEOUT_MS * 1_000, () -> listener.failed(this, "connect timeout"));
    }

    /** Sends the next call. */
    void send(String target, long timeoutMillis) {
        LOG.log(Level.FINE, "discovery: asks {0}", target);
        if (sent) {
            startedAt = loop.now();
        }
        sent = true;
        outdatedBelow = 0;
        channel.write(HttpMessageBuilder.request("GET", target, "discovery").bytes());
        loop.cancel(deadline);
        deadline = loop.at(loop.now() + timeoutMillis * 1_000, () -> listener.timedOut(this));
    }

    /** Whether a call has been sent on this connection. */
    boolean isSent() {
        return sent;
    }

    long elapsedMillis() {
        return (loop.now() - startedAt) / 1_000;
    }

    /** Marks listings below the given version as outdated for the current call. */
    void markOutdatedBelow(long version) {
        outdatedBelow = Math.max(outdatedBelow, version);
    }

    boolean isOutdated(WorkerListing listing) {
        return listing.index() < outdatedBelow;
    }

    /** Removes the time limit of the current call. */
    void cancelTimeout() {
        loop.cancel(deadline);
    }

    /**
     * Shuts down the sending side and reads responses that are still under way. Closing at once would lose a response
     * that discovery has just written, although discovery considers this node informed of its content.
     */
    void closeGracefully() {
        if (closingGracefully) {
            return;
        }
        closingGracefully = true;
        channel.shutdownOutput();
        loop.cancel(deadline);
        deadline = loop.at(loop.now() + CLOSE_TIMEOUT_MICROS, this::close);
    }

    /** Closes the connection; the listener is not called any more. */
    void close() {
        closed = true;
        loop.cancel(deadline);
        if (channel != null) {
            channel.close();
        } else {
            connecting.cancel();
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Describes the call for logs: its number, its duration and the received bytes of the response. */
    String describe() {
        return "call " + number + ", out for " + elapsedMillis() + " ms, " + body.size() + " bytes of an answer,";
    }

    @Override
    public void opened(Channel opened) {
        channel = opened;
        if (closed) {
            channel.close();
        } else {
            listener.opened(this);
        }
    }

    @Override
    public void connectFailed(String why) {
        reportFailure(why);
    }

    @Override
    public void closed() {
        reportFailure("connection closed by discovery");
    }

    private void reportFailure(String why) {
        if (!closed) {
            listener.failed(this, why);
        }
    }

    @Override
    @SuppressWarnings("unchecked")
    public void received(Object messages) {
        for (Object message : (List<Object>) messages) {
            if (closed) {
                return;
            } else if (message instanceof HttpHead response) {
                head = response;
                body.reset();
            } else if (message instanceof byte[] data) {
                body.writeBytes(data);
            } else if (message == HttpCodec.END_OF_RESPONSE) {
                onResponseEnd();
            } else if (message != PARTIAL_MESSAGE) {
                reportFailure(((HttpException) message).getMessage());
            }
        }
    }

    private void onResponseEnd() {
        LOG.log(Level.FINE, "discovery: answers {0} with {1} bytes", new Object[] {head.status(), body.size()});
        if (head.status() == SERVICE_UNAVAILABLE) {
            listener.rejected(this);
        } else if (head.status() != OK) {
            reportFailure("status " + head.status());
        } else {
            parseListing();
        }
    }

    private void parseListing() {
        WorkerListing listing;
        try (JsonParser json = JSON.createParser(body.toByteArray())) {
            json.nextToken();
            listing = WorkerListing.read(json);
        } catch (IOException e) {
            reportFailure("malformed listing: " + e.getMessage());
            return;
        }
        body.reset();
        listener.answered(this, listing, head.closes());
    }
}
