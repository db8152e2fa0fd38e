package gorserill.program.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** One client of a node: one request after another on a connection that it keeps. */
final class Client implements Runnable {
    private static final int CONNECT_TIMEOUT = 2_000;
    private static final int LATEST_ANSWER = 3_000;
    private static final int LONGEST_THOUGHT = 60;
    private static final double LEAVES = 0.05;
    private static final int LONGEST_STAY = 40;
    private static final int LONG_AFTER_LEAVE = 300;
    private static final AtomicLong NUMBERS = new AtomicLong();

    private final int node;
    private final InetSocketAddress address;
    private final Intruder intruder;
    private final SoakPlan plan;
    private final Clock clock;
    private final Oracle oracle;
    private final SplittableRandom random;
    private volatile boolean over;
    private Socket socket;
    private InputStream in;
    private boolean used;

    Client(
            int node,
            int number,
            InetSocketAddress address,
            Intruder intruder,
            SoakPlan plan,
            Clock clock,
            Oracle oracle) {
        this.intruder = intruder;
        this.node = node;
        this.address = address;
        this.plan = plan;
        this.clock = clock;
        this.oracle = oracle;
        random = new SplittableRandom(plan.seed() * 10_000 + node * 100L + number);
    }

    /** Sends nothing more after the request at hand. */
    void end() {
        over = true;
    }

    @Override
    public void run() {
        try {
            while (!over) {
                Thread.sleep(random.nextInt(LONGEST_THOUGHT));
                request();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disconnect();
    }

    private void request() throws InterruptedException {
        JobClass jobClass = JobClass.draw(random);
        String id = "%016x".formatted(0x1000_0000_0000_0000L + NUMBERS.incrementAndGet());
        boolean leaves =
                (plan.has(Fault.LEAVE) || plan.plant() == Plant.RUN_AFTER_LEAVE) && random.nextDouble() < LEAVES;
        Oracle.Request request = new Oracle.Request(id, node, jobClass, jobClass.deadline());
        oracle.submitted(request);
        try {
            exchange(request, leaves);
            plant(request);
        } catch (SocketTimeoutException e) {
            request.lost = "none for " + LATEST_ANSWER + " ms more";
            disconnect();
        } catch (IOException e) {
            request.lost = e.toString();
            disconnect();
        }
    }

    private void plant(Oracle.Request request) throws IOException, InterruptedException {
        switch (plan.plant()) {
            case RUN_TWICE -> {
                if (request.jobClass == JobClass.ALERT) {
                    intruder.send(request, request.remaining / 2);
                }
            }
            case RUN_AFTER_LEAVE -> {
                if (!Double.isNaN(request.leftAt)) {
                    Thread.sleep(LONG_AFTER_LEAVE);
                    intruder.send(request, 1);
                }
            }
            case TIME_ADDED -> intruder.send(request, request.remaining * 2);
            case ANSWER_LOST -> request.answers = 0;
            case ANSWER_TWICE -> request.answers++;
            default -> {
                // Discovery's, or none at all.
            }
        }
    }

    private void exchange(Oracle.Request request, boolean leaves) throws IOException, InterruptedException {
        boolean again = used;
        try {
            send(request);
            if (leaves) {
                Thread.sleep(random.nextInt(LONGEST_STAY));
                disconnect();
                request.leftAt = clock.now();
                return;
            }
            receive(request);
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            disconnect();
            if (!again) {
                throw e;
            }
            // The node may close a connection between requests; the request then goes once more.
            send(request);
            receive(request);
        }
    }

    private void send(Oracle.Request request) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(address, CONNECT_TIMEOUT);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            used = false;
        }
        String body = "job " + request.id;
        String key = request.jobClass == JobClass.CLOSING ? "Idempotency-Key: key-" + request.id + "\r\n" : "";
        String head = "POST /%s HTTP/1.1\r\nHost: soak\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n"
                .formatted(request.jobClass.text(), request.id, request.jobClass.text(), request.remaining);
        socket.setSoTimeout(request.remaining + LATEST_ANSWER);
        socket.getOutputStream()
                .write((head + key + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
        request.sentAt = clock.now();
    }

    private void receive(Oracle.Request request) throws IOException {
        String[] first = line().split(" ");
        int length = 0;
        boolean closes = false;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(
                        lower.substring("content-length:".length()).strip());
            }
            closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        request.answeredAt = clock.now();
        request.status = Integer.parseInt(first[1]);
        request.answers++;
        if (request.status == 200 && !body.equals(request.id)) {
            request.lost = "another's result: " + body;
        }
        used = true;
        if (closes) {
            disconnect();
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection ended");
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    private void disconnect() {
        used = false;
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
            socket = null;
        }
    }
}
