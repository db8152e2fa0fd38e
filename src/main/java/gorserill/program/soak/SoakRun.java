package gorserill.program.soak;

import gorserill.program.soak.FleetHistory.Entry;
import gorserill.program.soak.FleetHistory.Status;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** One run: all is started, goes on under faults, and ends; then the rules are checked. */
public final class SoakRun implements Closeable {
    private static final int LAST_ANSWERS = 9_000;

    private final SoakPlan plan;
    private final Clock clock = new Clock();
    private final FleetHistory fleet = new FleetHistory(clock);
    private final OwnPauses own = new OwnPauses(clock);
    private final Oracle oracle = new Oracle(fleet, own);
    private final List<Closeable> parts = new ArrayList<>();
    private final List<Worker> workers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();

    public SoakRun(SoakPlan plan) {
        this.plan = plan;
    }

    /** Carries it out; gives what was violated. */
    public SoakResult run() throws IOException, InterruptedException {
        Thread beats = new Thread(own, "soak beats");
        beats.setDaemon(true);
        beats.start();
        parts.add(beats::interrupt);
        startWorkers();
        Discovery discovery = new Discovery(plan, clock, fleet, oracle);
        parts.add(discovery);
        startNodes(discovery);
        startClients();
        new FaultSchedule(plan, clock, fleet, discovery, workers, nodes, oracle).run();
        for (Client client : clients) {
            client.end();
        }
        for (Thread thread : clientThreads) {
            thread.join(LAST_ANSWERS);
        }
        List<Oracle.Violation> violations = new ArrayList<>(oracle.violations());
        for (Node node : nodes) {
            if (!node.alive()) {
                violations.add(new Oracle.Violation(clock.now(), "crash", "n" + node.number + " has ended"));
            }
        }
        return SoakResult.of(plan, oracle, clock.now(), violations);
    }

    private void startWorkers() throws IOException {
        for (int i = 0; i < plan.workers(); i++) {
            Worker worker = new Worker(i, plan, clock, oracle);
            workers.add(worker);
            parts.add(worker);
            fleet.begin(new Entry(i, worker.address(), Status.IN_SERVICE, 0));
        }
    }

    private void startNodes(Discovery discovery) throws IOException, InterruptedException {
        for (int i = 0; i < plan.nodes(); i++) {
            Node node = new Node(i, plan, fleet.whole());
            nodes.add(node);
            parts.add(node);
            node.configure(discovery.address(i, 0));
            node.start();
        }
        for (Node node : nodes) {
            node.awaitReady();
        }
    }

    private void startClients() {
        for (Node node : nodes) {
            for (int i = 0; i < plan.clients(); i++) {
                Client client = new Client(
                        node.number,
                        i,
                        node.clients,
                        new Intruder(workers.get(0).address()),
                        plan,
                        clock,
                        oracle);
                Thread thread = new Thread(client, "soak client");
                thread.setDaemon(true);
                clients.add(client);
                clientThreads.add(thread);
                thread.start();
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Closeable part : parts) {
            part.close();
        }
    }
}
