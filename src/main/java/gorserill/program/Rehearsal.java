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
 * Runs a node briefly on its own ports with a list of unreachable workers: a client's request is refused and the node
 * stops. The build uses it to let the JVM archive the classes that a start needs; a normal start handles no request
 * that would load them.
 */
final class Rehearsal {
    private static final String REQUEST = "POST /job HTTP/1.1\r\nHost: a\r\nX-Txn: rehearsal\r\nX-Lane: job\r\n"
            + "X-Remaining-Ms: 1000\r\nX-Labels: slots=1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";

    private Rehearsal() {}

    private static String exchange(int port, String request) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Returns the status line of the response. */
    static String run() throws IOException, ConfigException, InterruptedException {
        try (ReservedPort clients = ReservedPort.reserve();
                ReservedPort operators = ReservedPort.reserve()) {
            return run(clients.port(), operators.port());
        }
    }

    private static String run(int clientPort, int adminPort) throws IOException, ConfigException, InterruptedException {
        Path configFile = Files.createTempFile("rehearsal", ".json");
        try (InputStream template = Rehearsal.class.getResourceAsStream("rehearsal.json")) {
            Files.writeString(
                    configFile,
                    new String(template.readAllBytes(), StandardCharsets.UTF_8)
                            .replace("PORT", Integer.toString(clientPort))
                            .replace("ADMIN", Integer.toString(adminPort)));
            Map<String, String> environment = Map.of("NODE_CONFIG", configFile.toString());
            NodeConfig config = NodeConfig.read(environment);
            WarmUp.run(config.settings);
            Node node = new Node(config, environment);
            node.start();
            try {
                // The operators' address opens shortly after the start; waiting keeps the build independent of that
                // timing.
                node.awaitReady();
                exchange(adminPort, "telemetry\n");
                return exchange(clientPort, REQUEST).lines().findFirst().orElse("nothing");
            } finally {
                node.stop();
            }
        } finally {
            Files.delete(configFile);
        }
    }
}
