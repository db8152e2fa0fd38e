package gorserill.program.scale;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** A connection to a hollow worker, on its process's one thread: one job at a time travels on it. */
final class HollowConnection {
    private static final int READ = 4_096;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String END = "0\r\n\r\n";

    private final HollowWorker worker;
    private final SocketChannel channel;
    private final HollowWorkers process;
    private final HollowRequest request = new HollowRequest();
    private HollowRequest.Job running;

    HollowConnection(HollowWorker worker, SocketChannel channel, HollowWorkers process) {
        this.worker = worker;
        this.channel = channel;
        this.process = process;
    }

    boolean busy() {
        return running != null;
    }

    /** Reads what came; a job that is whole begins. */
    void read() {
        try {
            ByteBuffer buffer = ByteBuffer.allocate(READ);
            int many = channel.read(buffer);
            if (many < 0) {
                close();
                return;
            }
            process.cameIn(many);
            if (!request.add(buffer.array(), many)) {
                close();
                return;
            }
            HollowRequest.Job job = running == null ? request.take() : null;
            if (job != null) {
                begin(job);
            }
        } catch (IOException | NumberFormatException e) {
            close();
        }
    }

    private void begin(HollowRequest.Job job) throws IOException {
        running = job;
        process.tell(new WorkerMessage.Ran(job.id(), worker.index, System.currentTimeMillis()));
        write(HEAD + chunk("{\"state\":\"started\"}\n"));
        process.loop().after(worker.service(job.id()), this::finish);
    }

    private void finish() {
        if (running == null || !channel.isOpen()) {
            return;
        }
        String id = process.resultFor(running.id());
        running = null;
        try {
            write(chunk("{\"state\":\"done\",\"result\":\"" + id + "\",\"load\":{\"x0\":" + worker.freeSlots() + "}}\n")
                    + END);
        } catch (IOException e) {
            close();
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Danger: answers are far smaller than a socket's buffer; one that does not fit ends its connection. */
    private void write(String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        int wrote = channel.write(bytes);
        process.wentOut(wrote);
        if (bytes.hasRemaining()) {
            throw new IOException("the node does not read");
        }
    }

    /** Without lingering, a close is a reset. */
    void reset() throws IOException {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        close();
    }

    private void close() {
        running = null;
        worker.closed(this);
        try {
            channel.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
