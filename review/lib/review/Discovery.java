package review;

import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Discovery with a list that does not change: whole lists, and watches that end without news. */
final class Discovery extends Http.Server {
    private static final Pattern WAIT = Pattern.compile("wait=(\\d+)");
    private volatile List<Worker> workers = List.of();

    Discovery() throws IOException {
        super();
    }

    void list(List<Worker> all) {
        workers = List.copyOf(all);
    }

    String listing(boolean whole) {
        return "{\"index\":7,\"snapshot\":" + whole + ",\"endpoints\":["
                + (whole ? workers.stream().map(Worker::entry).collect(Collectors.joining(",")) : "") + "]}";
    }

    @Override
    void answer(Http.Message request, Socket connection, PushbackInputStream in) throws IOException {
        String target = request.first().split(" ")[1];
        boolean whole = !target.contains("index=7");
        Matcher wait = WAIT.matcher(target);
        if (!whole && wait.find() && !Http.stays(connection, in, Long.parseLong(wait.group(1)))) {
            return;
        }
        String body = listing(whole);
        Http.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
