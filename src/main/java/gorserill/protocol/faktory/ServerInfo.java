package gorserill.protocol.faktory;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;

/**
 * What the node answers to INFO. Counts are since the start of the process.
 *
 * @param openJobs jobs without a final answer
 * @param uptimeSeconds time since the frontend was created
 */
record ServerInfo(
        long openJobs,
        long servedJobs,
        long failedJobs,
        int queues,
        int connections,
        int workers,
        long commands,
        long uptimeSeconds) {
    private static final JsonFactory JSON = new JsonFactory();

    /** Encodes it with the names that the Faktory server uses. */
    byte[] toJson() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("server_utc_time", Instant.now().toString());
            json.writeObjectFieldStart("faktory");
            json.writeNumberField("total_enqueued", openJobs);
            json.writeNumberField("total_processed", servedJobs);
            json.writeNumberField("total_failures", failedJobs);
            json.writeNumberField("total_queues", queues);
            json.writeEndObject();
            json.writeObjectFieldStart("server");
            json.writeStringField("description", "gorserill");
            json.writeNumberField("connections", connections);
            json.writeNumberField("workers", workers);
            json.writeNumberField("command_count", commands);
            json.writeNumberField("uptime", uptimeSeconds);
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
