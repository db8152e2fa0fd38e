package review;

import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.util.concurrent.Semaphore;

/**
 * A worker of the platform's protocol: takes jobs, tells their start, works for a time, tells the end. Work stops when
 * the connection of its request ends. As many jobs run at once as it has slots; others wait in order.
 */
final class Worker extends Http.Server {
    /** Hears of what happens to each request here. */
    interface Listener {
        /** A request was read to its last byte. */
        default void taken(Worker worker, Http.Message request) {}

        /** Its work begins. */
        default void begun(Worker worker, Http.Message request) {}

        /** Its work has run to the end; what to answer as the result. */
        String ended(Worker worker, Http.Message request);
    }

    /** How long a job runs, in milliseconds. */
    interface Work {
        long millis(Http.Message request);
    }

    final String name;
    final String zone;
    private final Semaphore slots;
    private final Work work;
    private final Listener listener;

    Worker(String name, String zone, int slots, Work work, Listener listener) throws IOException {
        super();
        this.name = name;
        this.zone = zone;
        this.slots = new Semaphore(slots, true);
        this.work = work;
        this.listener = listener;
    }

    String entry() {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"type\":\"std4\",\"group\":0,\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}";
    }

    @Override
    void answer(Http.Message request, Socket connection, PushbackInputStream in) throws IOException {
        String id = request.header("x-txn");
        if (id == null || !request.first().startsWith("POST ")) {
            Http.write(connection, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        listener.taken(this, request);
        Http.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        slots.acquireUninterruptibly();
        try {
            listener.begun(this, request);
            chunk(connection, "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"started\"}\n");
            if (!Http.stays(connection, in, work.millis(request))) {
                throw new IOException("cancelled");
            }
        } finally {
            slots.release();
        }
        String result = listener.ended(this, request);
        chunk(connection, "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"" + result + "\"}\n");
        Http.write(connection, "0\r\n\r\n");
    }

    private static void chunk(Socket connection, String text) throws IOException {
        Http.write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
