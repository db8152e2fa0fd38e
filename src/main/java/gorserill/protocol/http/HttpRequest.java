package gorserill.protocol.http;

import gorserill.common.MemoryBudget;

/**
 * A complete HTTP request.
 *
 * @param reservation the memory that the request holds; the receiver releases it after use
 * @param arrivedMicros arrival time of the last byte, in microseconds of the loop's clock
 */
public record HttpRequest(HttpHead head, byte[] body, MemoryBudget.Reservation reservation, long arrivedMicros) {}
