package gorserill.program;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Two processes of one node, the second started beside the first, on a socket that is passed to both. */
public class UpgradeTest {
    private Scenario scenario;
    private Fixture fixture;

    @BeforeMethod
    public void anew() {
        scenario = new Scenario();
    }

    private void configureWithOneWorker() throws IOException {
        fixture = new Fixture(
                scenario.standIn("discovery"),
                Fixture.endpoint("w1", scenario.standIn("w1"), "in_service"),
                15_000,
                Fixture.FAKTORY_ON);
        scenario.front("clients", fixture.clients);
        scenario.front("faktory", fixture.faktory);
        fixture.environment.put("TMPDIR", Files.createTempDirectory("upgrade").toString());
    }

    @AfterMethod
    public void close() throws IOException {
        scenario.close();
    }

    /** Danger: a client that meets a process which is not ready, or none, is lost to the node. */
    @Test
    public void theNewProcessTakesOverWhatTheOldOneLeaves() throws Exception {
        configureWithOneWorker();
        try (SocketHolder holder = new SocketHolder(fixture.clients)) {
            ProcessHandle first = start(holder, "first");
            CompletableFuture<ProcessHandle> end = first.onExit();
            scenario.call("upgrade", () -> start(holder, "second"));
            scenario.call("term", first::destroy);
            scenario.run("""
                R ready first
                C connect clients
                C send JOB estado a-1 5000 open
                W accept w1
                W expect open
                W send ANSWER
                W send EVENT {"state":"started"}
                I connect clients
                I send GET /healthz HTTP/1.1\\r\\n\\r\\n
                I expect 200 OK
                F connect faktory
                F expect HI
                X call upgrade
                R ready second
                D connect clients
                D send JOB estado a-1 5000 twice
                D expect@0-500 409
                X call term
                R expect <closed>
                - wait 100
                N connect clients
                N send JOB estado a-2 5000 new
                V accept w1
                V expect new
                V send ANSWER
                V send LAST {"state":"done","result":"two"}
                N expect 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\ntwo
                G connect faktory
                G expect HI
                I send JOB estado a-3 2000 idle
                U accept w1
                U expect idle
                U send ANSWER
                U send LAST {"state":"done","result":"three"}
                I expect 200 OK.*Connection: close.*three
                I expect <closed>
                W send LAST {"state":"done","result":"one"}
                C expect 200 OK.*Connection: close.*one
                C expect <closed>
                """.lines().toList());
            end.get(5, TimeUnit.SECONDS);
            scenario.run("""
                N send JOB estado a-4 5000 still
                V expect still
                V send ANSWER
                V send LAST {"state":"done","result":"four"}
                N expect 200 OK.*four
                """.lines().toList());
        }
    }

    /** Guards against a second run of a job that another process handed to a worker, also after two upgrades. */
    @Test
    public void aJobThatMustNotRunTwiceIsNotRunAgainByTheOtherProcess() throws Exception {
        configureWithOneWorker();
        try (SocketHolder holder = new SocketHolder(fixture.clients)) {
            ProcessHandle first = start(holder, "first");
            CompletableFuture<ProcessHandle> end = first.onExit();
            AtomicReference<ProcessHandle> second = new AtomicReference<>();
            scenario.call("upgrade", () -> second.set(start(holder, "second")));
            scenario.call("upgrade again", () -> start(holder, "third"));
            scenario.call("term", first::destroy);
            scenario.call("term second", () -> second.get().destroy());
            scenario.run("""
                R ready first
                C connect clients
                C send JOB alerta a-1 5000 served
                W accept w1
                W expect served
                W send ANSWER
                W send LAST {"state":"done","result":"one"}
                C expect 200 OK.*one
                - wait 200
                C send JOB alerta a-2 5000 open
                W expect open
                W send ANSWER
                W send EVENT {"state":"started"}
                X call upgrade
                R ready second
                X call term
                R expect <closed>
                - wait 100
                D connect clients
                D send JOB alerta a-1 5000 twice
                D expect@0-500 409
                W send LAST {"state":"done","result":"two"}
                C expect 200 OK.*two
                """.lines().toList());
            end.get(5, TimeUnit.SECONDS);
            scenario.run("""
                - wait 500
                E connect clients
                E send JOB alerta a-1 5000 twice
                E expect@0-500 409
                S ready second
                X call upgrade again
                T ready third
                X call term second
                S expect <closed>
                - wait 800
                G connect clients
                G send JOB alerta a-1 5000 twice
                G expect@0-500 409
                """.lines().toList());
        }
    }

    /** Danger: the platform sends its calls to one of the two; the rules see one node. */
    @Test
    public void aBanBindsBothProcessesAndOutlastsTheFirst() throws Exception {
        fixture = new Fixture(
                scenario.standIn("discovery"),
                Fixture.endpoint("w1", scenario.standIn("w1"), "in_service") + ","
                        + Fixture.endpoint("w2", scenario.standIn("w2"), "in_service"),
                15_000,
                "{}");
        scenario.front("clients", fixture.clients);
        fixture.environment.put("TMPDIR", Files.createTempDirectory("upgrade").toString());
        try (SocketHolder holder = new SocketHolder(fixture.clients)) {
            ProcessHandle first = start(holder, "first");
            CompletableFuture<ProcessHandle> end = first.onExit();
            scenario.call("upgrade", () -> start(holder, "second"));
            scenario.call("kill", first::destroyForcibly);
            scenario.run("""
                R ready first
                O connect clients
                O send GET /healthz HTTP/1.1\\r\\n\\r\\n
                O expect 200 OK
                A connect first
                A send exclude w1\\n
                A expect@0-500 ^ok
                X call upgrade
                S ready second
                B connect second
                B send exclude w2\\n
                B expect@0-500 ^ok
                B connect second
                B send include w1\\n
                B expect@0-500 ^ok
                - wait 300
                O send JOB estado a-1 3000 old
                W accept w1
                W expect old
                A connect first
                A send exclude w1\\n
                A expect@0-500 ^ok
                B connect second
                B send include w2\\n
                B expect@0-500 ^ok
                - wait 300
                X call kill
                """.lines().toList());
            end.get(5, TimeUnit.SECONDS);
            scenario.run("""
                N connect clients
                N send JOB estado a-2 3000 new
                V accept w2
                V expect new
                """.lines().toList());
        }
    }

    /** Starts a process, with a second address of its own. */
    private ProcessHandle start(SocketHolder holder, String name) {
        try {
            InetSocketAddress operators = fixture.operators();
            scenario.front(name, operators);
            ProcessHandle process = holder.start(Map.copyOf(fixture.environment));
            assertTrue(process.isAlive());
            return process;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
