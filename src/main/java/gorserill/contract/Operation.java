package gorserill.contract;

import gorserill.contract.schema.Check;
import java.util.List;
import java.util.Map;

/**
 * Something that a client may ask for, as described.
 *
 * @param id the description's name for it, or one made of method and path
 * @param method of HTTP, in capitals; null for a message
 * @param address path template, or address of a channel
 * @param place where it is described: file and pointer
 * @param parameters of path, query, header and cookie; of a channel's address
 * @param body what its requests carry; null where they carry none
 * @param bodyRequired whether a request without a body is not let in
 * @param messages of a channel, one of which a request must be; empty for HTTP
 * @param answers by status ({@code 200}, {@code 2XX}, {@code default}): what workers' answers carry
 */
public record Operation(
        String id,
        String method,
        String address,
        String place,
        Terms terms,
        List<Parameter> parameters,
        Content body,
        boolean bodyRequired,
        List<Message> messages,
        Map<String, Content> answers) {

    /**
     * A message that a channel takes.
     *
     * @param name as described; a job type may be named after it
     * @param headers a message must fit all of them
     * @param payload null where anything goes
     * @param correlation where it says what it belongs to; null where it does not
     */
    public record Message(String name, List<Check> headers, Check payload, Expression correlation) {}

    /** Whether jobs are made of its requests. */
    public boolean submits() {
        return terms.jobClass() != null;
    }

    /** Whether its requests ask for something to be done, rather than to be told (RFC 9110, 9.2.1). */
    public boolean acts() {
        return Learner.acts(method);
    }

    /** What a worker's answer to a request that was served carries; null where that is not described. */
    Content servedContent() {
        for (String status : List.of("200", "2XX", "default")) {
            if (answers.containsKey(status)) {
                return answers.get(status);
            }
        }
        return null;
    }
}
