package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A job that is refused while it is submitted returns its memory to the budget once, on either frontend. */
public class RefusedJobMemoryTest {
    private static final int JOBS = 20;
    private static final int BODY_BYTES = 10_000;

    private CoreFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(100, true);
        fixture.refuseAllJobs();
    }

    @AfterMethod
    public void stop() throws Exception {
        fixture.close();
    }

    /** Guards against a budget that grows with each refused PUSH until later bursts exhaust the heap. */
    @Test
    public void refusedPushesLeaveTheBudgetAsItWas() throws Exception {
        try (TestClient client = TestClient.faktory(fixture.listenFaktory(), "")) {
            for (int i = 0; i < JOBS; i++) {
                client.send(TestClient.push("refused-" + i, BODY_BYTES));
                assertTrue(client.readLine().startsWith("-ERR refused:"));
            }
        }
        assertBudgetIsUnused();
    }

    /** Guards against the same fault on the HTTP frontend. */
    @Test
    public void refusedRequestsLeaveTheBudgetAsItWas() throws Exception {
        try (TestClient client = new TestClient(fixture.listen())) {
            for (int i = 0; i < JOBS; i++) {
                client.send(TestClient.head("refused-" + i, "", BODY_BYTES) + "x".repeat(BODY_BYTES));
                assertTrue(client.readHead().startsWith("HTTP/1.1 503 "));
            }
        }
        assertBudgetIsUnused();
    }

    private void assertBudgetIsUnused() throws Exception {
        fixture.runOnLoop(() -> null);
        assertEquals(fixture.memoryBudget.used(), 0);
        assertEquals(fixture.failures, List.of());
    }
}
