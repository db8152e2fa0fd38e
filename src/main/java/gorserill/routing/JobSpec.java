package gorserill.routing;

/**
 * A job as the core passes it on, in no wire's terms.
 *
 * @param id the client's own id of the request
 * @param jobClass its place in the settings' list of classes
 * @param route where within the service the client asked for it, for whoever can make use of it
 * @param idempotencyKey what workers tell repeats by; null where the job has none
 * @param contentType of the body; null where not told
 * @param body passed on unread
 * @param contract what binds this job beyond its class; null for nothing
 * @param fencingToken rises from owner to owner of the work that this job is part of; null for nothing. Workers that
 *     check it can turn away what an owner of old sends late; no promise rests on their doing so
 */
public record JobSpec(
        String id,
        int jobClass,
        String route,
        String idempotencyKey,
        String contentType,
        byte[] body,
        JobContract contract,
        String fencingToken) {

    /** A job that is part of nothing else. */
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

    /** A job that nothing but its class binds. */
    public JobSpec(String id, int jobClass, String route, String idempotencyKey, String contentType, byte[] body) {
        this(id, jobClass, route, idempotencyKey, contentType, body, null, null);
    }
}
