package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A rolling restart of ten nodes, three at a time at most: two of the three voters of the cluster, the leader among them,
 * are restarted by plan, and once they have ended the node that has the service address. SIGKILL follows SIGTERM after the
 * longest deadline and 0.7 s. What clients sent later than 0.7 s after SIGTERM has to be answered. Without the disruption
 * only the node with the address is restarted.
 */
final class PlannedEnd implements Worker.Listener {
    private static final List<String> ZONES = List.of("quito-norte", "guayaquil", "cuenca");
    private static final int NODES = 10;
    private static final List<String> VOTERS = List.of("n0", "n1", "n2");
    private static final int CONNECTIONS = 14;
    /** The longest deadline, counted as 3 s, and 0.7 s; the rest is slack in the node's favour. */
    private static final long KILL_AFTER_MS = 3_000 + 700 + 10;
    /** What came so long after SIGTERM must be answered: 0.7 s, and 50 ms longer. */
    private static final long OWED_AFTER_MS = 750;
    /** What was written so shortly before SIGKILL is not counted, in the node's favour. */
    private static final long TOO_SHORT_MS = 100;

    private final Rig rig;
    private final AtomicLong numbers = new AtomicLong();
    /** Ids, and with them the draws of work, are new with each run. */
    private final long ids = System.currentTimeMillis() << 20;
    private final List<Sent> sent = new ArrayList<>();
    private volatile long termAt = Long.MAX_VALUE / 2;
    private volatile boolean over;

    /** A request of a client and what became of it. */
    private static final class Sent {
        final String id;
        final String jobClass;
        volatile long writtenAt = -1;
        volatile boolean firstOnConnection;
        volatile long endedAt = -1;
        volatile String end = "unanswered";
        volatile boolean reachedWorker;

        Sent(String id, String jobClass) {
            this.id = id;
            this.jobClass = jobClass;
        }
    }

    private PlannedEnd(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args[0], rig -> new PlannedEnd(rig).run());
    }

    @Override
    public void taken(Worker worker, Http.Message request) {
        synchronized (sent) {
            sent.stream().filter(s -> s.id.equals(request.header("x-txn"))).forEach(s -> s.reachedWorker = true);
        }
    }

    @Override
    public String ended(Worker worker, Http.Message request) {
        return "of " + request.header("x-txn");
    }

    /**
     * Work of 670 ms in the mean: of `historial` lognormal, the deviation 0.59 of the mean; of `alerta` exponential. The
     * same for an id on each run.
     */
    private static long work(Http.Message request) {
        // Not Random, whose first draws for ids that follow each other are nearly the same.
        SplittableRandom random = new SplittableRandom(Long.parseUnsignedLong(request.header("x-txn"), 16));
        return (long) (670 * (request.header("x-lane").equals("historial")
                ? Math.exp(0.547 * random.nextGaussian() - 0.149)
                : -Math.log(1 - random.nextDouble())));
    }

    /** A client: one request at a time, on a connection that it keeps; a new one as long as the front sends it here. */
    private void client(Rig.Node node, int number) {
        Random random = new Random(number);
        while (!over) {
            // The front sends new connections for 0.3 s after SIGTERM.
            if (rig.now() > termAt + 300) {
                return;
            }
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.clients)) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                boolean first = true;
                while (!over) {
                    String jobClass = number % 2 == 0 ? "historial" : "alerta";
                    Sent request = new Sent(String.format("%016x", ids + numbers.incrementAndGet()), jobClass);
                    request.firstOnConnection = first;
                    if (!exchange(socket, in, request)) {
                        break;
                    }
                    first = false;
                    Rig.sleep(20 + random.nextInt(60));
                }
            } catch (IOException e) {
                Rig.sleep(20);
            }
        }
    }

    /** @return whether the connection goes on */
    private boolean exchange(Socket socket, InputStream in, Sent request) {
        String body = "{\"lectura\":\"" + request.id + "\"}";
        try {
            Http.write(socket, "POST /" + request.jobClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + request.id + "\r\nX-Lane: "
                    + request.jobClass + "\r\nX-Remaining-Ms: 6000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        } catch (IOException e) {
            // The node has closed between requests; the client would send this one elsewhere.
            return false;
        }
        request.writtenAt = rig.now();
        synchronized (sent) {
            sent.add(request);
        }
        try {
            Http.Message answer = Http.read(in);
            request.endedAt = rig.now();
            request.end = answer == null ? "closed without an answer" : Integer.toString(answer.status());
            if (answer == null || answer.closes()) {
                return false;
            }
            if (answer.status() == 503) {
                // The client heeds the advice.
                Rig.sleep((long) (1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.1"))));
            }
            return true;
        } catch (IOException e) {
            request.endedAt = rig.now();
            request.end = "reset: " + e.getMessage();
            return false;
        }
    }

    private boolean run() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 22; i++) {
            Worker worker = rig.keep(new Worker("s-" + i, ZONES.get(i % 3), 5, PlannedEnd::work, this));
            worker.start();
            workers.add(worker);
        }
        Discovery discovery = rig.keep(new Discovery());
        discovery.list(workers);
        discovery.start();
        Registry registry = rig.keep(new Registry(rig));
        registry.start();
        List<Deployment.JobClass> classes = List.of(
                new Deployment.JobClass("historial", 400, 2, 6_000, 2, "read_like", "all", 5_000),
                new Deployment.JobClass("alerta", 150, 2.5, 6_000, 5, "non_idempotent", "all", 5_000));
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(rig.new Node("n" + i));
        }
        for (Rig.Node node : nodes) {
            node.write("node.json", Deployment.node(node, NODES, nodes.indexOf(node) % 3, ZONES, discovery, classes));
            node.write("cluster.json", Deployment.cluster(node, nodes, VOTERS,
                    ",\"address\":{\"registry\":\"http://" + registry.address() + "/entry\",\"value\":\"127.0.0.1:" + node.clients + "\"}"));
            node.start();
        }
        for (Rig.Node node : nodes) {
            node.awaitReady(30_000);
        }
        // The address may move while nodes still come in.
        Rig.sleep(3_000);
        long end = rig.now() + 15_000;
        while (registry.value().isEmpty()) {
            if (rig.now() > end) {
                throw new Rig.CannotRun("no node has announced itself");
            }
            Rig.sleep(50);
        }
        Rig.Node owner = null;
        for (Rig.Node node : nodes) {
            owner = registry.value().endsWith(":" + node.clients) ? node : owner;
        }
        if (nodes.indexOf(owner) < VOTERS.size()) {
            Rig.Node other = nodes.get(NODES - 1);
            rig.log("address is transferred to " + other.name + ": " + owner.call("cluster transfer address " + other.name).strip());
            while (!registry.value().endsWith(":" + other.clients)) {
                if (rig.now() > end) {
                    throw new Rig.CannotRun("the address does not move");
                }
                Rig.sleep(50);
            }
            owner = other;
        }
        Rig.Node ending = owner;
        rig.log("the service address is " + ending.name);
        for (int i = 0; i < CONNECTIONS; i++) {
            int number = i;
            Rig.daemon("client " + i, () -> client(ending, number));
        }
        Rig.sleep(6_000);
        Rig.Node leader = leader(nodes);
        Rig.Node second = nodes.get((nodes.indexOf(leader) + 1) % VOTERS.size());
        rig.log(leader.name + " leads, " + second.name + " is another voter");
        if (rig.trouble) {
            leader.signal("TERM");
            second.signal("TERM");
            long kill = rig.now() + KILL_AFTER_MS;
            for (Rig.Node node : List.of(leader, second)) {
                if (!node.awaitEnd(kill - rig.now())) {
                    node.signal("KILL");
                    node.awaitEnd(5_000);
                }
            }
            leader.start();
            second.start();
        }
        if (!registry.value().endsWith(":" + ending.clients)) {
            throw new Rig.CannotRun("the service address has moved");
        }
        ending.signal("TERM");
        // After it was sent, so that no limit of the pages is cut short by the time that sending takes.
        termAt = rig.now();
        boolean ended = ending.awaitEnd(KILL_AFTER_MS);
        long killAt = rig.now();
        if (!ended) {
            ending.signal("KILL");
        }
        ending.awaitEnd(5_000);
        Rig.sleep(500);
        over = true;
        return judge(ending, ended, killAt);
    }

    private static Rig.Node leader(List<Rig.Node> nodes) throws Rig.CannotRun {
        for (Rig.Node node : nodes) {
            if (node.call("cluster").contains("voter=leads")) {
                return node;
            }
        }
        throw new Rig.CannotRun("nobody leads");
    }

    private boolean judge(Rig.Node ending, boolean ended, long killAt) throws Rig.CannotRun {
        ending.noteLog("drains", "takes nothing new", "ends");
        int before = 0;
        int answered = 0;
        int lost = 0;
        synchronized (sent) {
            for (Sent request : sent) {
                rig.note(request.id + " " + request.jobClass + " written " + (request.writtenAt - termAt) + " ms after SIGTERM, "
                        + (request.reachedWorker ? "at a worker, " : "at no worker, ") + request.end + " at "
                        + (request.endedAt < 0 ? "-" : request.endedAt - termAt));
                boolean whole = request.end.matches("\\d+");
                if (request.writtenAt < termAt) {
                    before += whole ? 1 : 0;
                } else if (whole) {
                    answered++;
                } else if (!ended && request.endedAt >= killAt - 5 && request.writtenAt > termAt + OWED_AFTER_MS
                        && request.writtenAt < killAt - TOO_SHORT_MS && request.reachedWorker) {
                    lost++;
                    rig.log("lost: " + request.id + " " + request.jobClass + ", written " + (request.writtenAt - termAt)
                            + " ms after SIGTERM and " + (killAt - request.writtenAt) + " ms before SIGKILL");
                }
            }
        }
        rig.log("answered before SIGTERM " + before + ", after it " + answered + ", lost " + lost
                + (ended ? "; the process ended by itself" : "; SIGKILL found the process alive"));
        if (before < 20) {
            throw new Rig.CannotRun("too few requests were answered before SIGTERM");
        }
        return lost == 0;
    }
}
