package gorserill.program.soak;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One service for all nodes that takes calls in turn, and can be reached at several addresses for each node, so that it
 * is known to whom it speaks.
 */
final class Discovery implements Closeable {
    /** Each node's; a move leads to the next of them. */
    static final int ADDRESSES = 4;

    /** An address that was moved away from closes its connections so long after, milliseconds. */
    private static final int CLOSES_AFTER = 1_500;

    private static final Pattern WATCH = Pattern.compile("index=(\\d+)&wait=(\\d+)");
    private static final int LONGEST_TURN = 2_000;
    private static final int CROWDED_COST = 150;
    private static final int LINK_DELAY = 40;
    private static final double FAULTY_CALLS = 0.15;

    private final SoakPlan plan;
    private final Clock clock;
    private final FleetHistory fleet;
    private final Oracle oracle;
    private final ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor(Discovery::daemon);
    private final ScheduledExecutorService links = Executors.newScheduledThreadPool(2, Discovery::daemon);
    private final List<ServerSocket> servers = new ArrayList<>();
    private final List<Call> parked = new ArrayList<>();
    private final Map<ServerSocket, Set<Socket>> open = new ConcurrentHashMap<>();
    private final Set<ServerSocket> left = ConcurrentHashMap.newKeySet();
    private final SplittableRandom random;

    Discovery(SoakPlan plan, Clock clock, FleetHistory fleet, Oracle oracle) throws IOException {
        this.plan = plan;
        this.clock = clock;
        this.fleet = fleet;
        this.oracle = oracle;
        random = new SplittableRandom(plan.seed() ^ 0x5eed);
        for (int i = 0; i < plan.nodes() * ADDRESSES; i++) {
            ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            servers.add(server);
            open.put(server, ConcurrentHashMap.newKeySet());
            int node = i / ADDRESSES;
            daemon(() -> accept(server, node)).start();
        }
    }

    private static Thread daemon(Runnable run) {
        Thread thread = new Thread(run, "soak discovery");
        thread.setDaemon(true);
        return thread;
    }

    InetSocketAddress address(int node, int which) {
        return (InetSocketAddress) servers.get(node * ADDRESSES + which).getLocalSocketAddress();
    }

    /** A node was moved: the address takes no new connection, and closes the open ones after a while. */
    void leave(int node, int which) {
        ServerSocket server = servers.get(node * ADDRESSES + which);
        left.add(server);
        Set<Socket> its = Set.copyOf(open.get(server));
        if (!links.isShutdown()) {
            links.schedule(() -> its.forEach(Discovery::closeSocket), CLOSES_AFTER, TimeUnit.MILLISECONDS);
        }
    }

    /** A node is moved there. */
    void enter(int node, int which) {
        left.remove(servers.get(node * ADDRESSES + which));
    }

    private static void closeSocket(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void accept(ServerSocket server, int node) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                if (left.contains(server)) {
                    socket.close();
                    continue;
                }
                socket.setTcpNoDelay(true);
                open.get(server).add(socket);
                daemon(() -> read(socket, node)).start();
            } catch (IOException e) {
                // The end, or a connection that was gone before it was accepted.
            }
        }
    }

    private void read(Socket socket, int node) {
        Call last = null;
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    last = new Call(node, socket, line);
                } else if (line.isEmpty() && last != null) {
                    take(last);
                }
            }
        } catch (IOException e) {
            // The node has left.
        }
        Call left = last;
        if (left != null) {
            later(left::left);
        }
    }

    /** What the node does is known as late as what it is told. */
    private void later(Runnable action) {
        if (plan.has(Fault.SLOW_LINK) && !links.isShutdown()) {
            links.schedule(action, LINK_DELAY, TimeUnit.MILLISECONDS);
        } else {
            action.run();
        }
    }

    private synchronized boolean draws(Fault fault) {
        return plan.has(fault) && random.nextDouble() < FAULTY_CALLS;
    }

    private synchronized void take(Call call) {
        if (draws(Fault.SILENT_WATCHES)) {
            call.silence = oracle.silent(call.node, clock.now(), call.wait);
        } else if (call.known == fleet.version()) {
            parked.add(call);
            turns.schedule(() -> unpark(call), call.wait, TimeUnit.MILLISECONDS);
        } else {
            queue(call);
        }
    }

    private synchronized void unpark(Call call) {
        if (parked.remove(call)) {
            queue(call);
        }
    }

    /** There is news: who waits for it is answered in turn. */
    synchronized void news() {
        List<Call> all = List.copyOf(parked);
        parked.clear();
        all.forEach(this::queue);
    }

    private void queue(Call call) {
        call.queuedAt = clock.now();
        turns.execute(() -> serve(call));
    }

    private void serve(Call call) {
        if (call.closed) {
            return;
        }
        if (plan.has(Fault.CROWDED)) {
            pause(CROWDED_COST);
        }
        if (call.closed) {
            return;
        }
        if (clock.now() - call.queuedAt > LONGEST_TURN || draws(Fault.REFUSED_CALLS)) {
            oracle.note(clock.now(), "discovery turns n" + call.node + " away");
            call.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        FleetHistory.Listing listing = call.known < 0 ? fleet.whole() : fleet.since(call.known);
        String body = told(listing).json();
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        if (draws(Fault.CUT_LISTS)) {
            oracle.note(clock.now(), "discovery cuts its answer to n" + call.node);
            call.write(answer.substring(0, answer.length() - body.length() / 2));
            later(() -> closeSocket(call.socket));
        } else {
            oracle.told(call.node, listing.version(), clock.now());
            call.write(answer);
        }
    }

    private FleetHistory.Listing told(FleetHistory.Listing listing) {
        if (plan.plant() != Plant.DRAIN_UNTOLD || listing.whole()) {
            return listing;
        }
        return new FleetHistory.Listing(
                listing.version(),
                false,
                listing.entries().stream()
                        .filter(entry -> entry.status() == FleetHistory.Status.IN_SERVICE)
                        .toList());
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        turns.shutdownNow();
        links.shutdownNow();
        for (ServerSocket server : servers) {
            server.close();
        }
    }

    /** A call of a node, answered once. */
    private final class Call {
        private final int node;
        private final Socket socket;
        /** The version that the node has; -1 where it asks for the whole list. */
        private final long known;

        private final long wait;
        private double queuedAt;
        private volatile boolean closed;
        /** Null where it is not kept without an answer. */
        private volatile Oracle.Silence silence;

        Call(int node, Socket socket, String request) {
            this.node = node;
            this.socket = socket;
            Matcher watch = WATCH.matcher(request);
            boolean watches = watch.find();
            known = watches ? Long.parseLong(watch.group(1)) : -1;
            wait = watches ? Long.parseLong(watch.group(2)) : 0;
        }

        void write(String text) {
            later(() -> {
                try {
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    // The node has left meanwhile.
                }
            });
        }

        /** The node has ended the connection. */
        void left() {
            closed = true;
            if (silence != null) {
                silence.ended(clock.now());
                oracle.note(clock.now(), "n" + node + " gives its silent watch up");
            }
        }
    }
}
