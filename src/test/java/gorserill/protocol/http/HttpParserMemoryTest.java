package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.protocol.http.HttpParser.Event;
import java.nio.ByteBuffer;
import org.testng.annotations.Test;

/** What a parser holds between messages. */
public class HttpParserMemoryTest {
    /** Guards against hundreds of connections at rest that each keep their last head and a large buffer. */
    @Test
    public void aParserAtRestHoldsNothingOfTheLastMessage() throws Exception {
        HttpParser parser = new HttpParser(false, HttpFrontend.MAX_BODY_BYTES);
        parser.feed(ByteBuffer.wrap(HttpMessageBuilder.ascii(
                TestClient.head("large", "X-Long: " + "y".repeat(10_000) + "\r\n", 20_000) + "x".repeat(20_000))));
        assertEquals(parser.next(), Event.HEAD);
        assertTrue(parser.headMemoryBytes() > 10_000);
        assertEquals(parser.next(), Event.DATA);
        assertEquals(parser.next(), Event.END);
        assertEquals(parser.takeHead().header("x-txn"), "large");
        parser.trim();
        assertEquals(parser.headMemoryBytes(), 0);
        assertEquals(parser.bufferedMemoryBytes(), 0);
    }
}
