package gorserill.program.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends a job to a worker past the nodes, as a planted violation. */
final class Intruder {
    private static final int PATIENCE = 2_000;

    private final InetSocketAddress worker;

    Intruder(InetSocketAddress worker) {
        this.worker = worker;
    }

    /** @param remaining the time that the worker is told, milliseconds */
    void send(Oracle.Request request, int remaining) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(worker, PATIENCE);
            socket.setSoTimeout(PATIENCE);
            String head = "POST /%s HTTP/1.1\r\nX-Txn: %s\r\nX-Remaining-Ms: %d\r\nContent-Length: 0\r\n\r\n"
                    .formatted(request.jobClass.text(), request.id, remaining);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
        }
    }
}
