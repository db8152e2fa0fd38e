package gorserill.protocol.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Runs the codecs on messages of the usual kind, so that the first real ones find them ready. */
public final class HttpCodecWarmUp {
    private static final byte[] LINE =
            "{\"id\":\"a\",\"from\":\"w\",\"state\":\"done\",\"result\":\"r\",\"load\":{\"x0\":1.0}}"
                    .getBytes(StandardCharsets.UTF_8);

    private HttpCodecWarmUp() {}

    /** @throws IllegalStateException where the codecs do not understand each other */
    public static void run(int rounds) {
        LoadFieldNames names = new LoadFieldNames("x0", "x1");
        HttpParser requests = new HttpParser(false, LINE.length);
        HttpParser answers = new HttpParser(true, LINE.length);
        try {
            for (int i = 0; i < rounds; i++) {
                requests.feed(ByteBuffer.wrap(HttpMessageBuilder.request("POST", "/a", "w")
                        .header("X-Txn", i)
                        .header("X-Remaining-Ms", 500)
                        .header("X-Labels", "slots=1")
                        .bytes(LINE)));
                JobHeaders headers = JobHeaders.of(head(requests));
                answers.feed(ByteBuffer.wrap(HttpMessageBuilder.response(200)
                        .header("X-Pressure", "x0=1")
                        .bytes(LINE)));
                JobEvent event = JobEvent.parse(LINE, names);
                boolean understood = headers.remainingMicros(1_000_000) == 500_000
                        && headers.number("slots", "", 0) == 1
                        && JobEvent.parseLoad(head(answers).header("x-pressure"), names)
                                        .freeSlots()
                                == 1
                        && event.state().equals("done");
                if (!understood) {
                    throw new IllegalStateException("the codecs do not understand each other");
                }
            }
        } catch (IOException | HttpException e) {
            throw new IllegalStateException(e);
        }
    }

    private static HttpHead head(HttpParser reader) throws HttpException {
        HttpParser.Event event = reader.next();
        while (event != HttpParser.Event.END) {
            event = reader.next();
        }
        return reader.head();
    }
}
