package gorserill.program.demo;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * A worker of the platform's protocol that does nothing, slowly or badly as it is told, and counts. A job
 * counts as run from the moment that the worker says so, or that it could have begun: whatever breaks after
 * its last byte.
 */
public final class FakeHttpWorker extends LoopbackHttpServer {
    /** What a worker does with a job that it was sent. */
    public enum Kind {
        DONE,
        FAILED,
        RESET,
        LATE
    }

    /**
     * How it does it.
     *
     * @param durationMs that it takes
     * @param result a JSON value, where it is done
     */
    public record Reaction(Kind kind, int durationMs, String result) {}

    /**
     * A job as it came.
     *
     * @param key null where it has none
     * @param fence null where it has none
     * @param run which run of its id this is, over all workers with the same counts, from 1
     */
    public record Job(String lane, String id, String key, String fence, byte[] body, int run) {}

    private final String name;
    private final Function<Job, Reaction> behaviour;
    private final Map<String, Integer> runs;

    /**
     * A worker.
     *
     * @param runs by id, shared among workers
     */
    public FakeHttpWorker(String name, Map<String, Integer> runs, Function<Job, Reaction> behaviour)
            throws IOException {
        this.name = name;
        this.runs = runs;
        this.behaviour = behaviour;
    }

    /** Counts that several workers can share. */
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
            // Without lingering, a close is a reset.
            connection.setSoLinger(true, 0);
            connection.close();
            return;
        }
        write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(connection, "{\"state\":\"started\"}\n");
        Thread.sleep(reaction.durationMs());
        chunk(
                connection,
                reaction.kind() == Kind.FAILED
                        ? "{\"state\":\"failed\"}\n"
                        : "{\"state\":\"done\",\"result\":" + reaction.result() + "}\n");
        write(connection, "0\r\n\r\n");
    }

    private static void chunk(Socket connection, String text) throws IOException {
        write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
