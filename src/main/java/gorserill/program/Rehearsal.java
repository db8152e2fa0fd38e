package gorserill.program;

import gorserill.transport.ReservedPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A short life of a node on a port of its own, with a list that names nobody who listens: a client asks, is
 * refused, and the node ends. The build runs it to have the JVM archive the classes that a start needs, since
 * a node that starts takes no jobs.
 */
final class Rehearsal {
    private static final String ASKED = "POST /job HTTP/1.1\r\nHost: a\r\nX-Txn: rehearsal\r\nX-Lane: job\r\n"
            + "X-Remaining-Ms: 1000\r\nX-Labels: slots=1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";

    private Rehearsal() {}

    private static String ask(int port, String what) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.getOutputStream().write(what.getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Gives the first line of the answer. */
    static String run() throws IOException, ConfigException, InterruptedException {
        try (ReservedPort clients = ReservedPort.reserve();
                ReservedPort operators = ReservedPort.reserve()) {
            return run(clients.port(), operators.port());
        }
    }

    private static String run(int port, int operators) throws IOException, ConfigException, InterruptedException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try (InputStream text = Rehearsal.class.getResourceAsStream("rehearsal.json")) {
            Files.writeString(
                    file,
                    new String(text.readAllBytes(), StandardCharsets.UTF_8)
                            .replace("PORT", Integer.toString(port))
                            .replace("ADMIN", Integer.toString(operators)));
            Map<String, String> environment = Map.of("NODE_CONFIG", file.toString());
            NodeConfig config = NodeConfig.read(environment);
            WarmUp.run(config.settings);
            Node node = new Node(config, environment);
            node.start();
            try {
                // Danger: the second address opens a moment after the start; a build must not depend on it.
                node.awaitReady();
                ask(operators, "telemetry\n");
                return ask(port, ASKED).lines().findFirst().orElse("nothing");
            } finally {
                node.stop();
            }
        } finally {
            Files.delete(file);
        }
    }
}
