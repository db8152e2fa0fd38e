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
import gorserill.protocol.http.StandInWorkers.Accepted;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What crosses a job on a connection to a worker that is used again; no job here may run twice. */
public class ReuseTest {
    private static final JobClass UNSAFE = new JobClass(2_000_000, 2, 2_000_000, 1, 1, Effect.UNSAFE, Group.ALL, 0, -1);

    private LiveCore live;
    private StandInWorkers workers;

    @BeforeMethod
    public void start() throws Exception {
        live = new LiveCore(100, true, UNSAFE);
        workers = new StandInWorkers(1);
        live.on(() -> {
            live.core.updateWorkers(
                    ListKind.WHOLE,
                    List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)),
                    Map.of(1L, live.crossed(live.port("w1", workers.address(0)))));
            return null;
        });
    }

    @AfterMethod
    public void stop() throws Exception {
        assertEquals(live.faults, List.of());
        live.close();
        workers.close();
    }

    private CompletableFuture<String> take(String id) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        live.on(() -> live.take(id, answer));
        return answer;
    }

    private static String given(CompletableFuture<String> answer) throws Exception {
        return answer.get(5, TimeUnit.SECONDS);
    }

    /** One job done; its connection rests. */
    private Accepted used() throws Exception {
        CompletableFuture<String> answer = take("a-1");
        Accepted at = workers.next();
        assertTrue(at.head().contains("X-Txn: a-1\r\n"));
        at.answer(Accepted.done("a-1", "one"));
        assertEquals(given(answer), "served");
        return at;
    }

    /** Danger: taken for the next job's it would serve that with another's result, or end it unserved. */
    @Test
    public void aSecondAnswerThatComesAfterTheNextJobWasSentCostsThatJobNothing() throws Exception {
        Accepted at = used();
        CompletableFuture<String> answer = take("a-2");
        assertTrue(at.head().contains("X-Txn: a-2\r\n"));
        at.answer(Accepted.done("a-1", "one") + Accepted.done("a-2", "two"));
        assertEquals(given(answer), "served");
        CompletableFuture<String> next = take("a-3");
        assertTrue(at.head().contains("X-Txn: a-3\r\n"));
        at.answer(Accepted.done("a-3", "three"));
        assertEquals(given(next), "served");
    }

    /** Danger: whoever sends stray answers without end would hold the job up to its deadline, and memory. */
    @Test
    public void aThirdAnswerToTheJobBeforeEndsTheAttempt() throws Exception {
        Accepted at = used();
        CompletableFuture<String> answer = take("a-2");
        assertTrue(at.head().contains("X-Txn: a-2\r\n"));
        at.answer(Accepted.done("a-1", "one") + Accepted.done("a-1", "one"));
        // Long before its time of 1.8 s is up.
        assertEquals(answer.get(1, TimeUnit.SECONDS), "failed");
    }

    /** Danger: 'turned away' names no job; its copy, taken for the next job's, would have that run twice. */
    @Test
    public void aConnectionThatBroughtAnAnswerNamingNoJobIsNotUsedAgain() throws Exception {
        CompletableFuture<String> answer = take("a-1");
        Accepted first = workers.next();
        assertTrue(first.head().contains("X-Txn: a-1\r\n"));
        first.answer("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        assertEquals(given(answer), "refused");
        CompletableFuture<String> next = take("a-2");
        Accepted second = workers.next();
        assertNotSame(second.socket(), first.socket());
        assertTrue(second.head().contains("X-Txn: a-2\r\n"));
        second.answer(Accepted.done("a-2", "two"));
        assertEquals(given(next), "served");
    }

    /**
     * The worker ends a resting connection in the moment in which a job is to go out on it. Danger: the write
     * would fail, and the worker be barred as one that is not there.
     */
    @Test
    public void aJobDoesNotGoOutOnAConnectionThatTheWorkerHasJustEnded() throws Exception {
        Accepted at = used();
        int before = live.transport.connectionCount();
        live.on(() -> live.onStart = () -> {
            at.socket().close();
            LiveCore.await(() -> live.transport.connectionCount() == before - 1);
            live.onStart = () -> null;
            return null;
        });
        CompletableFuture<String> answer = take("a-2");
        Accepted second = workers.next();
        assertTrue(second.head().contains("X-Txn: a-2\r\n"));
        second.answer(Accepted.done("a-2", "two"));
        assertEquals(given(answer), "served");
        assertFalse(live.on(() -> live.core.avoids(1)));
    }
}
