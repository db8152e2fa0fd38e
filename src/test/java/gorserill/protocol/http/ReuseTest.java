package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.http.FakeServers.AcceptedConnection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Races on a reused connection to a worker: stray answers and closes. No job here may run twice. */
public class ReuseTest {
    private static final JobClass UNSAFE = new JobClass(2_000_000, 2, 2_000_000, 1, 1, Effect.UNSAFE, Group.ALL, 0, -1);

    private CoreFixture fixture;
    private FakeServers workers;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(100, true, UNSAFE);
        workers = new FakeServers(1);
        fixture.runOnLoop(() -> {
            fixture.core.updateWorkers(
                    ListKind.WHOLE,
                    List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)),
                    Map.of(1L, fixture.withHooks(fixture.httpWorker("w1", workers.address(0)))));
            return null;
        });
    }

    @AfterMethod
    public void stop() throws Exception {
        assertEquals(fixture.failures, List.of());
        fixture.close();
        workers.close();
    }

    private CompletableFuture<String> submit(String id) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        fixture.runOnLoop(() -> fixture.submit(id, answer));
        return answer;
    }

    private static String await(CompletableFuture<String> answer) throws Exception {
        return answer.get(5, TimeUnit.SECONDS);
    }

    /** Runs one job; returns its connection, which is idle afterwards. */
    private AcceptedConnection openIdleConnection() throws Exception {
        CompletableFuture<String> answer = submit("a-1");
        AcceptedConnection connection = workers.nextConnection();
        assertTrue(connection.readHead().contains("X-Txn: a-1\r\n"));
        connection.respond(AcceptedConnection.doneResponse("a-1", "one"));
        assertEquals(await(answer), "served");
        return connection;
    }

    /** Otherwise the next job would be answered with another job's result, or would fail. */
    @Test
    public void duplicateAnswerAfterTheNextJobWasSentDoesNotAffectIt() throws Exception {
        AcceptedConnection connection = openIdleConnection();
        CompletableFuture<String> answer = submit("a-2");
        assertTrue(connection.readHead().contains("X-Txn: a-2\r\n"));
        connection.respond(
                AcceptedConnection.doneResponse("a-1", "one") + AcceptedConnection.doneResponse("a-2", "two"));
        assertEquals(await(answer), "served");
        CompletableFuture<String> next = submit("a-3");
        assertTrue(connection.readHead().contains("X-Txn: a-3\r\n"));
        connection.respond(AcceptedConnection.doneResponse("a-3", "three"));
        assertEquals(await(next), "served");
    }

    /** A worker that sends stray answers endlessly would otherwise occupy memory and delay the job to its deadline. */
    @Test
    public void thirdAnswerToThePreviousJobEndsTheAttempt() throws Exception {
        AcceptedConnection connection = openIdleConnection();
        CompletableFuture<String> answer = submit("a-2");
        assertTrue(connection.readHead().contains("X-Txn: a-2\r\n"));
        connection.respond(
                AcceptedConnection.doneResponse("a-1", "one") + AcceptedConnection.doneResponse("a-1", "one"));
        // Well before the deadline of 1.8 s.
        assertEquals(answer.get(1, TimeUnit.SECONDS), "failed");
    }

    /**
     * A "turned away" answer names no job; a copy of it would be taken for the next job's, which would then run
     * twice.
     */
    @Test
    public void connectionWithAnAnswerNamingNoJobIsNotReused() throws Exception {
        CompletableFuture<String> answer = submit("a-1");
        AcceptedConnection first = workers.nextConnection();
        assertTrue(first.readHead().contains("X-Txn: a-1\r\n"));
        first.respond("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        assertEquals(await(answer), "refused");
        CompletableFuture<String> next = submit("a-2");
        AcceptedConnection second = workers.nextConnection();
        assertNotSame(second.socket(), first.socket());
        assertTrue(second.readHead().contains("X-Txn: a-2\r\n"));
        second.respond(AcceptedConnection.doneResponse("a-2", "two"));
        assertEquals(await(next), "served");
    }

    /**
     * The worker closes an idle connection at the moment at which a job is to be sent on it. The write would otherwise
     * fail, and the worker would be avoided as unreachable.
     */
    @Test
    public void jobIsNotSentOnAConnectionThatTheWorkerHasJustClosed() throws Exception {
        AcceptedConnection connection = openIdleConnection();
        int before = fixture.transport.connectionCount();
        fixture.runOnLoop(() -> fixture.beforeStart = () -> {
            connection.socket().close();
            CoreFixture.await(() -> fixture.transport.connectionCount() == before - 1);
            fixture.beforeStart = () -> null;
            return null;
        });
        CompletableFuture<String> answer = submit("a-2");
        AcceptedConnection second = workers.nextConnection();
        assertTrue(second.readHead().contains("X-Txn: a-2\r\n"));
        second.respond(AcceptedConnection.doneResponse("a-2", "two"));
        assertEquals(await(answer), "served");
        assertFalse(fixture.runOnLoop(() -> fixture.core.avoids(1)));
    }
}
