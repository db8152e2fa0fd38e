package gorserill.program.demo;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * A worker that implements the platform's protocol without doing work. It answers each job as configured
 * (delayed, failed or with a connection reset) and counts runs. A job counts as run once its last byte was
 * received, since the worker could have started it by then, even if
 * the connection fails later.
 */
public final class FakeHttpWorker extends LoopbackHttpServer {
    /** The outcome that the worker produces for a job. {@link #LATE} is {@link #DONE} after a long delay. */
    public enum Kind {
        DONE,
        FAILED,
        RESET,
        LATE
    }

    /**
     * The response to a job.
     *
     * @param durationMs delay before the outcome
     * @param result the result as JSON, unless the job fails
     */
    public record Reaction(Kind kind, int durationMs, String result) {}

    /**
     * A job as received.
     *
     * @param key null if absent
     * @param fence null if absent
     * @param run number of this run of the id, from 1, over all workers that share the run counts
     */
    public record Job(String lane, String id, String key, String fence, byte[] body, int run) {}

    private final String name;
    private final Function<Job, Reaction> behaviour;
    private final Map<String, Integer> runs;

    /**
     * Starts a worker.
     *
     * @param runs run counts by job id, which several workers may share
     */
    public FakeHttpWorker(String name, Map<String, Integer> runs, Function<Job, Reaction> behaviour)
            throws IOException {
        this.name = name;
        this.runs = runs;
        this.behaviour = behaviour;
    }

    /** Returns run counts that several workers can share. */
    public static Map<String, Integer> newRunCounts() {
        return new ConcurrentHashMap<>();
    }

    public String name() {
        return name;
    }

    @Override
    void respond(Request request, Socket connection) throws IOException, InterruptedException {
        String id = request.headers().getOrDefault("x-txn", "");
        int run = runs.merge(id, 1, Integer::sum);
        Reaction reaction = behaviour.apply(new Job(
                request.headers().getOrDefault("x-lane", ""),
                id,
                request.headers().get("idempotency-key"),
                request.headers().get("x-fence"),
                request.body(),
                run));
        if (reaction.kind() == Kind.RESET) {
            Thread.sleep(reaction.durationMs());
            // With a linger time of 0, close() sends a reset.
            connection.setSoLinger(true, 0);
            connection.close();
            return;
        }
        write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeChunk(connection, "{\"state\":\"started\"}\n");
        Thread.sleep(reaction.durationMs());
        writeChunk(
                connection,
                reaction.kind() == Kind.FAILED
                        ? "{\"state\":\"failed\"}\n"
                        : "{\"state\":\"done\",\"result\":" + reaction.result() + "}\n");
        write(connection, "0\r\n\r\n");
    }

    private static void writeChunk(Socket connection, String text) throws IOException {
        write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
