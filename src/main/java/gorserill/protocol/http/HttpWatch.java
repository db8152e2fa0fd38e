package gorserill.protocol.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.protocol.discovery.Listing;
import gorserill.transport.Channel;
import gorserill.transport.Peer;
import gorserill.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChain;

/**
 * A watch on discovery: one call after another on one connection, the next at once after an answer, since a
 * watch lives on only if it is taken up within 200 ms. After a failure it rests until {@link #start}.
 */
public final class HttpWatch {
    private static final Logger LOG = Logger.getLogger(HttpWatch.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    /** How long a call waits for news, and how much longer its answer may take. */
    private static final long WAIT_MS = 5_000;
    private static final long PATIENCE = 1_500_000;

    private final Loop loop;
    private final Transport transport;
    private final FilterChain chain;
    private final InetSocketAddress address;
    private final Consumer<Listing> heard;
    private final Runnable failed;
    private long index;
    /** The first call asks for the whole list: it is answered at once, a watch only when there is news. */
    private boolean whole = true;
    private Call call;

    public HttpWatch(Loop loop, Transport transport, FilterChain chain, InetSocketAddress address,
                     Consumer<Listing> heard, Runnable failed) {
        this.loop = loop;
        this.transport = transport;
        this.chain = chain;
        this.address = address;
        this.heard = heard;
        this.failed = failed;
    }

    /** Starts watching, unless it is under way. */
    public void start() {
        if (call == null) {
            call = new Call();
            call.connecting = transport.connect(address, chain, call);
            call.deadline = loop.at(loop.now() + PATIENCE, () -> call.fail("no connection"));
        }
    }

    private final class Call implements Peer {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Transport.Connecting connecting;
        private Channel channel;
        private Deadline deadline;
        private HttpHead head;

        private void ask() {
            String target = "/v1/servers" + (whole ? "" : "?index=" + index + "&wait=" + WAIT_MS);
            channel.write(HttpWriter.request("GET", target, "discovery").bytes());
            loop.cancel(deadline);
            // Danger: discovery's word counts as told 2 s after the wait, whether it arrived or not.
            deadline = loop.at(loop.now() + WAIT_MS * 1_000 + PATIENCE, () -> fail("no answer"));
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            if (call != this) {
                channel.close();
            } else {
                ask();
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

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (call != this) {
                    return;
                } else if (message instanceof HttpHead answer) {
                    head = answer;
                    body.reset();
                } else if (message instanceof byte[] data) {
                    body.writeBytes(data);
                } else if (message == HttpCodec.END) {
                    end();
                } else {
                    fail(((HttpException) message).getMessage());
                }
            }
        }

        private void end() {
            if (head.status() != 200) {
                fail("status " + head.status());
                return;
            }
            Listing listing;
            try (JsonParser json = JSON.createParser(body.toByteArray())) {
                json.nextToken();
                listing = Listing.read(json);
            } catch (IOException e) {
                fail("an unreadable listing: " + e.getMessage());
                return;
            }
            index = listing.index();
            whole = false;
            if (head.closes()) {
                loop.cancel(deadline);
                call = null;
                channel.close();
                start();
            } else {
                ask();
            }
            heard.accept(listing);
        }

        private void fail(String why) {
            if (call != this) {
                return;
            }
            LOG.log(Level.WARNING, "discovery: the watch failed: {0}", why);
            call = null;
            loop.cancel(deadline);
            if (channel != null) {
                channel.close();
            } else {
                connecting.cancel();
            }
            failed.run();
        }
    }
}
