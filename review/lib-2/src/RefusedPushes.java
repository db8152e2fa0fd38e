import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A Faktory client whose jobs are beyond a budget, and after it clients that send many commands at once. */
final class RefusedPushes {
    private static final int BODY = 60_000;
    private static final int PUSHED = 700;
    /** Clients that push one job after another, each this long after its last: some tens a second together. */
    private static final int CLIENTS = 12;

    private static final int PACE_MILLIS = 400;
    /** Worker processes, connections of each, and how long a job runs: within the site's figures. */
    private static final int WORKERS = 6;

    private static final int SLOTS = 5;
    private static final int RUN_MILLIS = 400;
    private static final int CONNECTIONS = 12;
    private static final int COMMANDS = 60;

    private RefusedPushes() {}

    public static void main(String[] args) throws IOException {
        Kit.main(args, RefusedPushes::run);
    }

    private static String push(String jid, String queue) {
        return "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"" + queue + "\",\"queue\":\"" + queue + "\",\"args\":[\""
                + "x".repeat(BODY) + "\"],\"custom\":{\"remaining_ms\":5000}}";
    }

    private static boolean run() throws Exception {
        Kit.Server discovery = Kit.discovery(List.of());
        Kit.NodeProcess node = new Kit.NodeProcess("n0");
        node.write("node.json", Kit.nodeJson(node, discovery.port(), 0, "zone", List.of()));
        node.write("faktory.json", "{\"enabled\": true, \"listen\": \"127.0.0.1:" + node.faktory
                + "\", \"queues\": {\"historial\": \"historial\", \"alerta\": \"alerta\"}}");
        String budgets = ",\n \"budgets\": {\"alertas\": {\"class\": \"alerta\", \"per_s\": 2, \"burst\": 1, \"nodes\": 1}}";
        node.write("cluster.json", Kit.clusterJson(node, List.of(node), Kit.TROUBLE ? budgets : ""));
        node.environment.put("GORSERILL_FAKTORY", node.home.resolve("faktory.json").toString());
        node.environment.put("GORSERILL_CLUSTER", node.home.resolve("cluster.json").toString());
        node.start();
        node.awaitReady();
        for (int i = 0; i < WORKERS * SLOTS; i++) {
            String wid = "camara-" + i / SLOTS;
            Kit.thread(wid, () -> work(node.faktory, wid));
        }
        Kit.sleep(5_000);
        AtomicInteger next = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> pushers = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            Thread pusher = new Thread(() -> {
                try (Kit.Faktory client = new Kit.Faktory(node.faktory, null)) {
                    for (int i = next.getAndIncrement(); i < PUSHED; i = next.getAndIncrement()) {
                        long begun = Kit.millis();
                        client.command(push("one-by-one-" + i, "alerta"));
                        String answer = client.reply(8_000);
                        refused.addAndGet(answer.contains("refused") ? 1 : 0);
                        served.addAndGet(answer.equals("OK") ? 1 : 0);
                        Kit.sleep(begun + PACE_MILLIS - Kit.millis());
                    }
                } catch (IOException e) {
                    Kit.note("a client that pushes one by one: " + e);
                }
            });
            pusher.setDaemon(true);
            pusher.start();
            pushers.add(pusher);
        }
        for (Thread pusher : pushers) {
            pusher.join();
        }
        Kit.note("alerta: " + PUSHED + " jobs were pushed by " + CLIENTS + " clients, " + served + " served, " + refused
                + " refused");
        Kit.require(node.process.isAlive(), "the node ended too early");
        List<Kit.Faktory> clients = new ArrayList<>();
        for (int c = 0; c < CONNECTIONS; c++) {
            Kit.Faktory client = new Kit.Faktory(node.faktory, null);
            clients.add(client);
            int number = c;
            Kit.thread("client " + c, () -> {
                try {
                    for (int i = 0; i < COMMANDS; i++) {
                        client.command(push("many-" + number + "-" + i, "historial"));
                    }
                } catch (IOException e) {
                    Kit.note("client " + number + " can't send more: " + e);
                }
                try {
                    for (int i = 0; i < COMMANDS; i++) {
                        String reply = client.reply(15_000);
                        if (i == 0 || !"OK".equals(reply)) {
                            Kit.note("client " + number + " hears " + reply);
                        }
                    }
                } catch (IOException e) {
                    Kit.note("client " + number + ": " + e);
                }
            });
        }
        Kit.sleep(15_000);
        boolean alive = node.process.isAlive();
        Kit.note(alive ? "the node runs: readyz " + node.call("readyz") : "the node has ended with " + node.process.exitValue());
        return alive;
    }

    private static void work(int port, String wid) {
        try (Kit.Faktory worker = new Kit.Faktory(port, wid)) {
            while (true) {
                worker.command("FETCH historial alerta");
                String unit = worker.reply(10_000);
                if (unit != null) {
                    Kit.sleep(RUN_MILLIS);
                    worker.command("ACK {\"jid\":\"" + Kit.field(unit, "jid") + "\"}");
                    worker.reply(5_000);
                }
            }
        } catch (IOException e) {
            Kit.note(wid + ": " + e);
        }
    }
}
