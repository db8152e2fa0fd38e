package gorserill.protocol.http;

/** A whole request; {@code arrivedMicros} is the time of its last byte. */
public record HttpRequest(HttpHead head, byte[] body, long arrivedMicros) {}
