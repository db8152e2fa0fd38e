package gorserill.program.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The clients of one node: jobs come at moments drawn from the seed, whatever became of those before; a job's
 * latency counts from the moment at which it was to be sent.
 */
final class Press {
    /**
     * Jobs that wait at a time. Danger: with all of them out the next job is late, and its latency says so.
     */
    private static final int MOST_AT_ONCE = 256;

    private static final int PATIENCE = 3_000;
    private static final long LONGEST = TimeUnit.SECONDS.toMicros(60);
    private static final int DIGITS = 3;
    private static final int IDLE = 5;

    /** What became of jobs so far. */
    record Counts(long served, long refused, long failed) {
        long all() {
            return served + refused + failed;
        }

        Counts since(Counts before) {
            return new Counts(served - before.served, refused - before.refused, failed - before.failed);
        }

        Counts plus(Counts other) {
            return new Counts(served + other.served, refused + other.refused, failed + other.failed);
        }
    }

    private final ServeNode node;
    private final ScalePlan plan;
    private final RuleChecks checks;
    private final HollowFleet fleet;
    private final SplittableRandom random;
    private final Deque<ClientConnection> idle = new ConcurrentLinkedDeque<>();
    private final ThreadPoolExecutor threads = new ThreadPoolExecutor(
            0,
            MOST_AT_ONCE,
            IDLE,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            new ThreadPoolExecutor.CallerRunsPolicy());
    private final Thread schedule;
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong unsafe = new AtomicLong();
    private volatile Histogram latency = new ConcurrentHistogram(LONGEST, DIGITS);
    private volatile boolean over;

    Press(ServeNode node, ScalePlan plan, RuleChecks checks, HollowFleet fleet) {
        this.node = node;
        this.plan = plan;
        this.checks = checks;
        this.fleet = fleet;
        random = new SplittableRandom(plan.seed() * 31 + node.index);
        schedule = new Thread(this::schedule, "clients of n" + node.index);
        schedule.setDaemon(true);
    }

    void start() {
        schedule.start();
    }

    /** Sends nothing more, and waits for what is out. */
    void stop() throws InterruptedException {
        over = true;
        schedule.join();
        threads.shutdown();
        threads.awaitTermination(PATIENCE * 3L, TimeUnit.MILLISECONDS);
        for (ClientConnection connection : idle) {
            if (connection.hasUnasked()) {
                checks.unasked(node.index);
            }
            connection.close();
        }
    }

    /** Sends nothing more; what is out is given up. */
    void abandon() {
        over = true;
        threads.shutdownNow();
        idle.forEach(ClientConnection::close);
    }

    Counts counts() {
        return new Counts(served.get(), refused.get(), failed.get());
    }

    /** Begins to measure latencies anew; gives the histogram, microseconds. */
    Histogram measure() {
        latency = new ConcurrentHistogram(LONGEST, DIGITS);
        return latency;
    }

    static Histogram histogram() {
        return new Histogram(LONGEST, DIGITS);
    }

    private void schedule() {
        long next = System.nanoTime();
        for (long number = 0; !over; number++) {
            next += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / plan.rate());
            JobKind kind = JobKind.draw(random);
            int tenant = plan.tenants() == 0 ? -1 : random.nextInt(plan.tenants());
            while (!over && System.nanoTime() < next) {
                LockSupport.parkNanos(next - System.nanoTime());
            }
            if (!over) {
                long intended = next;
                long its = number;
                threads.execute(() -> send(its, kind, tenant, intended));
            }
        }
    }

    private void send(long number, JobKind kind, int tenant, long intended) {
        String id = RuleChecks.id(node.index, number);
        byte[] request = request(id, kind, tenant);
        checks.submitted(id, kind);
        try {
            Answer answer = exchange(request, number, kind.deadline() + PATIENCE);
            latency.recordValue(Math.min(LONGEST, (System.nanoTime() - intended) / 1_000));
            checks.answered(id, answer);
            (answer.served() ? served : answer.refused() ? refused : failed).incrementAndGet();
            if (kind.onceAtMost() && Plant.RUN_TWICE.hits(plan.plant(), unsafe.getAndIncrement())) {
                sendToWorker(request);
            }
        } catch (SocketTimeoutException e) {
            checks.unanswered(id, "none within " + (kind.deadline() + PATIENCE) + " ms");
        } catch (IOException e) {
            checks.unanswered(id, e.toString());
        }
    }

    private static byte[] request(String id, JobKind kind, int tenant) {
        String body = "job " + id;
        return ("POST /" + kind.text() + " HTTP/1.1\r\nHost: scale\r\nX-Txn: " + id + "\r\nX-Lane: "
                        + kind.text() + "\r\nX-Remaining-Ms: " + kind.deadline() + "\r\n"
                        + (tenant < 0 ? "" : "X-Org: " + ServeNode.tenant(tenant) + "\r\n")
                        + (kind.keyed() ? "Idempotency-Key: key-" + id + "\r\n" : "")
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private Answer exchange(byte[] request, long number, int patience) throws IOException {
        ClientConnection connection = connection();
        Answer answer;
        try {
            answer = connection.exchange(request, patience);
        } catch (SocketTimeoutException e) {
            connection.close();
            throw e;
        } catch (IOException e) {
            connection.close();
            if (!connection.used()) {
                throw e;
            }
            // The node may close a connection between requests; the request then goes once more.
            connection = new ClientConnection(node.clients());
            answer = connection.exchange(request, patience);
        }
        if (Plant.ANSWER_LOST.hits(plan.plant(), number)) {
            connection.close();
            throw new IOException("the connection ended");
        } else if (Plant.ANSWER_TWICE.hits(plan.plant(), number)) {
            connection.repeat(answer);
        }
        if (answer.closes()) {
            connection.close();
        } else {
            idle.push(connection);
        }
        return answer;
    }

    private ClientConnection connection() throws IOException {
        ClientConnection connection = idle.poll();
        if (connection == null) {
            return new ClientConnection(node.clients());
        } else if (connection.hasUnasked()) {
            checks.unasked(node.index);
            connection.close();
            return new ClientConnection(node.clients());
        }
        return connection;
    }

    private void sendToWorker(byte[] request) throws IOException {
        InetSocketAddress worker = fleet.address((int) (unsafe.get() % fleet.size()));
        try (ClientConnection connection = new ClientConnection(worker)) {
            connection.exchange(request, PATIENCE);
        }
    }
}
