package gorserill.program.demo;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** A discovery service whose list of workers does not change while a node runs. */
public final class FakeDiscovery extends LoopbackHttpServer {
    private volatile List<FakeHttpWorker> workers = List.of();

    public FakeDiscovery() throws IOException {
        // The workers are set by setWorkers().
    }

    public void setWorkers(List<FakeHttpWorker> list) {
        workers = List.copyOf(list);
    }

    /** Returns the workers as JSON endpoint entries, without the enclosing array. */
    public static String endpointEntries(List<FakeHttpWorker> workers) {
        return workers.stream()
                .map(worker -> """
            {"name":"%s","address":"127.0.0.1:%d","zone":"a","type":"m","group":0,\
            "status":"in_service","since_ms":0}""".formatted(worker.name(), worker.address().getPort()))
                .collect(Collectors.joining(","));
    }

    @Override
    void respond(Request request, Socket connection) throws IOException, InterruptedException {
        boolean snapshot = !request.target().contains("index=");
        if (!snapshot) {
            // A watch blocks for its wait time; the list has no changes to report.
            Thread.sleep(
                    Long.parseLong(request.target().replaceFirst(".*wait=", "").replaceFirst("\\D.*", "")));
        }
        String text = "{\"index\":2,\"snapshot\":" + snapshot + ",\"endpoints\":["
                + (snapshot ? endpointEntries(workers) : "") + "]}";
        write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }
}
