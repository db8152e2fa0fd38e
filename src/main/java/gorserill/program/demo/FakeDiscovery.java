package gorserill.program.demo;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** Discovery with a list that never changes. */
public final class FakeDiscovery extends LoopbackHttpServer {
    private volatile List<FakeHttpWorker> workers = List.of();

    public FakeDiscovery() throws IOException {
        // Nothing to set up: the list comes by setWorkers().
    }

    public void setWorkers(List<FakeHttpWorker> all) {
        workers = List.copyOf(all);
    }

    /** The workers as entries of a listing. */
    public static String endpointEntries(List<FakeHttpWorker> workers) {
        return workers.stream()
                .map(worker -> """
            {"name":"%s","address":"127.0.0.1:%d","zone":"a","type":"m","group":0,\
            "status":"in_service","since_ms":0}""".formatted(worker.name(), worker.address().getPort()))
                .collect(Collectors.joining(","));
    }

    @Override
    void respond(Request request, Socket connection) throws IOException, InterruptedException {
        boolean whole = !request.target().contains("index=");
        if (!whole) {
            // A watch waits for changes as long as it says; there are none.
            Thread.sleep(
                    Long.parseLong(request.target().replaceFirst(".*wait=", "").replaceFirst("\\D.*", "")));
        }
        String text = "{\"index\":2,\"snapshot\":" + whole + ",\"endpoints\":["
                + (whole ? endpointEntries(workers) : "") + "]}";
        write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }
}
