package gorserill.protocol.faktory;

import java.nio.charset.StandardCharsets;

/** Encodes the replies of the Faktory protocol, which uses the RESP format of Redis. */
final class Replies {
    static final byte[] OK = "+OK\r\n".getBytes(StandardCharsets.UTF_8);
    /** Null bulk string: the reply to a FETCH when no job is available. */
    static final byte[] NULL = "$-1\r\n".getBytes(StandardCharsets.UTF_8);

    /** Reply to a BEAT that asks the worker to terminate. */
    static final byte[] TERMINATE = bulk("{\"state\":\"terminate\"}".getBytes(StandardCharsets.UTF_8));

    private Replies() {}

    static byte[] simple(String text) {
        return ("+" + text + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] error(String reason) {
        String line = reason.replace('\r', ' ').replace('\n', ' ');
        return ("-ERR " + line + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] bulk(byte[] body) {
        byte[] header = ("$" + body.length + "\r\n").getBytes(StandardCharsets.UTF_8);
        byte[] reply = new byte[header.length + body.length + 2];
        System.arraycopy(header, 0, reply, 0, header.length);
        System.arraycopy(body, 0, reply, header.length, body.length);
        reply[reply.length - 2] = '\r';
        reply[reply.length - 1] = '\n';
        return reply;
    }
}
