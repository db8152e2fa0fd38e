package gorserill.protocol.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Runs the codecs on typical messages at start-up, so that the first real requests run on warmed-up code. */
public final class HttpCodecWarmUp {
    private static final byte[] LINE =
            "{\"id\":\"a\",\"from\":\"w\",\"state\":\"done\",\"result\":\"r\",\"load\":{\"x0\":1.0}}"
                    .getBytes(StandardCharsets.UTF_8);

    private HttpCodecWarmUp() {}

    /** @throws IllegalStateException if a message is not parsed as it was built */
    public static void run(int rounds) {
        LoadFieldNames names = new LoadFieldNames("x0", "x1");
        HttpParser requests = new HttpParser(false, LINE.length);
        HttpParser responses = new HttpParser(true, LINE.length);
        try {
            for (int i = 0; i < rounds; i++) {
                requests.feed(ByteBuffer.wrap(HttpMessageBuilder.request("POST", "/a", "w")
                        .header("X-Txn", i)
                        .header("X-Remaining-Ms", 500)
                        .header("X-Labels", "slots=1")
                        .bytes(LINE)));
                JobHeaders headers = JobHeaders.of(parseHead(requests));
                responses.feed(ByteBuffer.wrap(HttpMessageBuilder.response(200)
                        .header("X-Pressure", "x0=1")
                        .bytes(LINE)));
                JobEvent event = JobEvent.parse(LINE, names);
                boolean matches = headers.remainingMicros(1_000_000) == 500_000
                        && headers.number("slots", "", 0) == 1
                        && JobEvent.parseLoad(parseHead(responses).header("x-pressure"), names)
                                        .freeSlots()
                                == 1
                        && event.state().equals("done");
                if (!matches) {
                    throw new IllegalStateException(
                            "HTTP codec warm-up: parsed message differs from the message built");
                }
            }
        } catch (IOException | HttpException e) {
            throw new IllegalStateException(e);
        }
    }

    private static HttpHead parseHead(HttpParser parser) throws HttpException {
        HttpParser.Event event = parser.next();
        while (event != HttpParser.Event.END) {
            event = parser.next();
        }
        return parser.takeHead();
    }
}
