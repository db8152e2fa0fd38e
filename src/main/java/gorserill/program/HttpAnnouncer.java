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
 * Announces the service address to a registry over HTTP. {@code PUT} (RFC 9110, section 9.3.4) sends the address
 * as text, with its epoch in {@code X-Epoch}; the registry answers 409 if it holds a higher epoch. {@code GET}
 * returns the announced address. The class is loaded only on nodes that announce an address.
 */
final class HttpAnnouncer implements Announcer {
    private static final Logger LOG = Logger.getLogger(HttpAnnouncer.class.getName());
    private static final int STATUS_CONFLICT = 409;
    private static final int MAX_ADDRESS_CHARS = 200;

    private final URI registry;
    private final Duration timeout;
    private final Executor callbackExecutor;
    private final HttpClient client;

    /**
     * @param timeoutMs limit on each request, in milliseconds
     * @param callbackExecutor runs the callbacks with the results
     */
    HttpAnnouncer(URI registry, long timeoutMs, Executor callbackExecutor) {
        this.registry = registry;
        this.timeout = Duration.ofMillis(timeoutMs);
        this.callbackExecutor = callbackExecutor;
        // The client keeps its own executor: name lookups and connection set-up on the cluster thread would delay
        // lease renewals.
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(this.timeout)
                .build();
        // The first request initializes the client, which takes long enough to delay a handover.
        lookUp(address -> LOG.log(
                address == null ? Level.WARNING : Level.FINE,
                address == null ? "the registry of the service address does not answer: {0}" : "{0} has {1}",
                new Object[] {registry, address}));
    }

    @Override
    public void lookUp(Consumer<String> callback) {
        client.sendAsync(
                        HttpRequest.newBuilder(registry).timeout(timeout).build(), HttpResponse.BodyHandlers.ofString())
                .whenComplete((response, error) -> callbackExecutor.execute(() -> callback.accept(
                        error != null
                                        || response.statusCode() / 100 != 2
                                        || response.body().length() > MAX_ADDRESS_CHARS
                                ? null
                                : response.body())));
    }

    @Override
    public void announce(String value, long epoch, Consumer<AnnounceResult> callback) {
        HttpRequest request = HttpRequest.newBuilder(registry)
                .timeout(timeout)
                .header("X-Epoch", Long.toString(epoch))
                .PUT(HttpRequest.BodyPublishers.ofString(value))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete((response, error) -> callbackExecutor.execute(() -> callback.accept(
                        error != null
                                ? AnnounceResult.UNKNOWN
                                : response.statusCode() / 100 == 2
                                        ? AnnounceResult.DONE
                                        : response.statusCode() == STATUS_CONFLICT
                                                ? AnnounceResult.TOO_LATE
                                                : AnnounceResult.UNKNOWN)));
    }
}
