package gorserill.program;

import gorserill.cluster.address.Announcer;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Announces by {@code PUT} (RFC 9110, section 9.3.4) of the address as text, with its epoch in
 * {@code X-Epoch}; 409 says that a higher epoch was there; {@code GET} gives it. Loaded where an address is
 * announced, and nowhere else.
 */
final class HttpAnnouncer implements Announcer {
    private static final Logger LOG = Logger.getLogger(HttpAnnouncer.class.getName());
    private static final int TOO_LATE = 409;
    /** Characters of an address. */
    private static final int LONGEST = 200;

    private final URI registry;
    private final Duration patience;
    private final Executor thread;
    private final HttpClient client;

    /**
     * @param patience for an answer, milliseconds
     * @param thread where answers are told
     */
    HttpAnnouncer(URI registry, long patience, Executor thread) {
        this.registry = registry;
        this.patience = Duration.ofMillis(patience);
        this.thread = thread;
        // Danger: on the cluster's thread, its looking up of names and opening of connections would hold
        // leases up.
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(this.patience)
                .build();
        // Danger: the first use of the client takes so long that a hand-over would wait for it.
        lookUp(at -> LOG.log(
                at == null ? Level.WARNING : Level.FINE,
                at == null ? "the registry of the service address does not answer: {0}" : "{0} has {1}",
                new Object[] {registry, at}));
    }

    @Override
    public void lookUp(Consumer<String> then) {
        client.sendAsync(
                        HttpRequest.newBuilder(registry).timeout(patience).build(),
                        HttpResponse.BodyHandlers.ofString())
                .whenComplete((answer, fault) -> thread.execute(() -> then.accept(
                        fault != null
                                        || answer.statusCode() / 100 != 2
                                        || answer.body().length() > LONGEST
                                ? null
                                : answer.body())));
    }

    @Override
    public void announce(String value, long epoch, Consumer<AnnounceResult> then) {
        HttpRequest request = HttpRequest.newBuilder(registry)
                .timeout(patience)
                .header("X-Epoch", Long.toString(epoch))
                .PUT(HttpRequest.BodyPublishers.ofString(value))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete((answer, fault) -> thread.execute(() -> then.accept(
                        fault != null
                                ? AnnounceResult.UNKNOWN
                                : answer.statusCode() / 100 == 2
                                        ? AnnounceResult.DONE
                                        : answer.statusCode() == TOO_LATE
                                                ? AnnounceResult.TOO_LATE
                                                : AnnounceResult.UNKNOWN)));
    }
}
