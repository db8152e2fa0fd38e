package gorserill.routing;

/**
 * A job as the core passes it to a worker, independent of the wire protocol.
 *
 * @param id the client's request id
 * @param jobClass index of the class in the settings
 * @param route path within the service that the client requested, for worker protocols that have paths
 * @param idempotencyKey key by which workers detect repeats; null if the job has none
 * @param contentType media type of the body; null if unknown
 * @param body passed on unread
 * @param contract contract that applies in addition to the class; null for none
 * @param fencingToken increases with each owner of the work that this job belongs to; null for none. Workers that
 *     check it can reject late requests of a previous owner; no guarantee depends on their doing so
 * @param bodyFormat what the front that accepted the job has verified of the body
 */
public record JobSpec(
        String id,
        int jobClass,
        String route,
        String idempotencyKey,
        String contentType,
        byte[] body,
        JobContract contract,
        String fencingToken,
        BodyFormat bodyFormat) {

    /** A job with an opaque body. */
    public JobSpec(
            String id,
            int jobClass,
            String route,
            String idempotencyKey,
            String contentType,
            byte[] body,
            JobContract contract,
            String fencingToken) {
        this(id, jobClass, route, idempotencyKey, contentType, body, contract, fencingToken, BodyFormat.OPAQUE);
    }

    /** A job with an opaque body and without fencing token. */
    public JobSpec(
            String id,
            int jobClass,
            String route,
            String idempotencyKey,
            String contentType,
            byte[] body,
            JobContract contract) {
        this(id, jobClass, route, idempotencyKey, contentType, body, contract, null);
    }

    /** A job with an opaque body and without contract and fencing token. */
    public JobSpec(String id, int jobClass, String route, String idempotencyKey, String contentType, byte[] body) {
        this(id, jobClass, route, idempotencyKey, contentType, body, null, null);
    }
}
