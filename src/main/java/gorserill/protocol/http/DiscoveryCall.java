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

/** A connection to discovery with one call after another on it. It reads answers, and decides nothing. */
final class DiscoveryCall implements ChannelListener {
    private static final Logger LOG = Logger.getLogger(DiscoveryCall.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    private static final int OK = 200;
    /** The status of an answer to a call that discovery has no time for, or can't answer. */
    private static final int TURNED_AWAY = 503;
    /** What was on its way as the sending ended has come by then, microseconds. */
    private static final long LAST_WORDS = 2_000_000;

    /** Is told, on the loop's thread, what becomes of a call; nothing once it was closed. */
    interface Listener {
        void opened(DiscoveryCall call);

        /** @param closes whether no other call can be made on the connection */
        void answered(DiscoveryCall call, WorkerListing listing, boolean closes);

        void rejected(DiscoveryCall call);

        /** There was no answer in the time that was given for it. */
        void timedOut(DiscoveryCall call);

        void failed(DiscoveryCall call, String why);
    }

    private final Loop loop;
    private final Listener listener;
    private final int number;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Transport.PendingConnection connecting;
    /** When the present call was begun, its connection included. */
    private long begun;

    private Channel channel;
    private Deadline deadline;
    private HttpHead head;
    private boolean sent;
    private boolean finishing;
    private boolean closed;
    /** News up to this version came from elsewhere while the present call was out. */
    private long outdatedBelow;

    /**
     * Opens the connection.
     *
     * @param number in the order in which they are opened, for logs
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
        begun = loop.now();
        connecting = transport.connect(address, chain, this);
        deadline = loop.at(begun + CallPace.CONNECT_TIMEOUT_MS * 1_000, () -> listener.failed(this, "no connection"));
    }

    /** Makes the next call. */
    void send(String target, long patienceMillis) {
        LOG.log(Level.FINE, "discovery: asks {0}", target);
        if (sent) {
            begun = loop.now();
        }
        sent = true;
        outdatedBelow = 0;
        channel.write(HttpMessageBuilder.request("GET", target, "discovery").bytes());
        loop.cancel(deadline);
        deadline = loop.at(loop.now() + patienceMillis * 1_000, () -> listener.timedOut(this));
    }

    /** Whether a call is out. */
    boolean isSent() {
        return sent;
    }

    long elapsedMillis() {
        return (loop.now() - begun) / 1_000;
    }

    /** What is answered to the call at hand may be older than this version. */
    void markOutdatedBelow(long version) {
        outdatedBelow = Math.max(outdatedBelow, version);
    }

    boolean isOutdated(WorkerListing listing) {
        return listing.index() < outdatedBelow;
    }

    /** It may take as long as it likes from now on. */
    void cancelTimeout() {
        loop.cancel(deadline);
    }

    /**
     * Ends the sending, and reads on for what is on its way. Danger: closed at once, an answer that discovery has just
     * written, and that counts as told, would be lost.
     */
    void closeGracefully() {
        if (finishing) {
            return;
        }
        finishing = true;
        channel.shutdownOutput();
        loop.cancel(deadline);
        deadline = loop.at(loop.now() + LAST_WORDS, this::close);
    }

    /** Closes it; nothing more is told of it. */
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

    /** For logs: which it is, how long it has been out, and what had come of an answer. */
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
        fail(why);
    }

    @Override
    public void closed() {
        fail("the connection ended");
    }

    private void fail(String why) {
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
            } else if (message instanceof HttpHead answer) {
                head = answer;
                body.reset();
            } else if (message instanceof byte[] data) {
                body.writeBytes(data);
            } else if (message == HttpCodec.END_OF_RESPONSE) {
                answered();
            } else if (message != PARTIAL_MESSAGE) {
                fail(((HttpException) message).getMessage());
            }
        }
    }

    private void answered() {
        LOG.log(Level.FINE, "discovery: answers {0} with {1} bytes", new Object[] {head.status(), body.size()});
        if (head.status() == TURNED_AWAY) {
            listener.rejected(this);
        } else if (head.status() != OK) {
            fail("status " + head.status());
        } else {
            listed();
        }
    }

    private void listed() {
        WorkerListing listing;
        try (JsonParser json = JSON.createParser(body.toByteArray())) {
            json.nextToken();
            listing = WorkerListing.read(json);
        } catch (IOException e) {
            fail("an unreadable listing: " + e.getMessage());
            return;
        }
        body.reset();
        listener.answered(this, listing, head.closes());
    }
}
