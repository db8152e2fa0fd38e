package review;

import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The registry of a service address: PUT under an epoch, refused with 409 below the highest one; and GET. */
final class Registry extends Http.Server {
    private final Rig rig;
    private String value = "";
    private long epoch;

    Registry(Rig rig) throws IOException {
        super();
        this.rig = rig;
    }

    synchronized String value() {
        return value;
    }

    @Override
    void answer(Http.Message request, Socket connection, PushbackInputStream in) throws IOException {
        String answer;
        synchronized (this) {
            if (request.first().startsWith("GET ")) {
                answer = "200 OK\r\nContent-Length: " + value.length() + "\r\n\r\n" + value;
            } else {
                long told = Long.parseLong(request.headers().getOrDefault("x-epoch", "0"));
                boolean late = told < epoch;
                if (!late) {
                    String next = new String(request.body(), StandardCharsets.UTF_8);
                    if (!next.equals(value)) {
                        rig.note("registry: " + next + " by epoch " + told);
                    }
                    epoch = told;
                    value = next;
                }
                answer = (late ? "409 Conflict" : "204 No Content") + "\r\nContent-Length: 0\r\n\r\n";
            }
        }
        Http.write(connection, "HTTP/1.1 " + answer);
    }
}
