package gorserill.program.drill;

import gorserill.transport.ReservedPort;
import java.io.IOException;

/** Loopback ports, each kept for a node and all of its processes until the drill ends. */
final class Ports {
    private Ports() {}

    static int next() throws IOException {
        return ReservedPort.reserveUntilExit().getPort();
    }
}
