package gorserill.protocol.http;

/**
 * A complete HTTP request.
 *
 * @param arrivedMicros arrival time of the last byte, in microseconds of the loop's clock
 */
public record HttpRequest(HttpHead head, byte[] body, long arrivedMicros) {}
