import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** Keyed jobs at Faktory workers; for one job the worker's connection is reset, the job done and not acknowledged. */
final class KeyedAtFaktory {
    private static final int JOBS = 40;
    /** The job that loses its connection; one of forty. */
    private static final String RESET = "review-job-20";

    /** Workers that did a job, by its key. */
    private static final Map<String, Set<String>> DONE_BY = new ConcurrentHashMap<>();

    private KeyedAtFaktory() {}

    public static void main(String[] args) throws IOException {
        Kit.main(args, KeyedAtFaktory::run);
    }

    private static boolean run() throws Exception {
        Kit.Server discovery = Kit.discovery(List.of());
        Kit.NodeProcess node = new Kit.NodeProcess("n0");
        node.write("node.json", Kit.nodeJson(node, discovery.port(), 0, "all", List.of()));
        node.write("faktory.json", "{\"enabled\": true, \"listen\": \"127.0.0.1:" + node.faktory
                + "\", \"queues\": {\"cierre\": \"cierre\"}}");
        node.environment.put("GORSERILL_FAKTORY", node.home.resolve("faktory.json").toString());
        node.start();
        node.awaitReady();
        for (String wid : List.of("camara-1", "camara-2")) {
            Kit.thread(wid, () -> work(node.faktory, wid));
        }
        Kit.sleep(1_000);
        for (int i = 0; i < JOBS; i++) {
            try (Kit.Faktory client = new Kit.Faktory(node.faktory, null)) {
                String push = "PUSH {\"jid\":\"review-job-" + i + "\",\"jobtype\":\"cierre\",\"queue\":\"cierre\","
                        + "\"args\":[],\"custom\":{\"idempotency_key\":\"key-" + i + "\"}}";
                Kit.note("client: " + push);
                client.command(push);
                Kit.note("client hears: " + client.reply(8_000));
            }
            Kit.sleep(50);
        }
        Kit.sleep(2_000);
        Kit.require(DONE_BY.size() > JOBS / 2, "most jobs did not reach a worker");
        boolean held = true;
        for (Map.Entry<String, Set<String>> each : DONE_BY.entrySet()) {
            if (each.getValue().size() > 1) {
                Kit.note(each.getKey() + " was done by " + each.getValue());
                held = false;
            }
        }
        return held;
    }

    /** A worker process with one connection; it comes back after a reset. */
    private static void work(int port, String wid) {
        while (true) {
            try (Kit.Faktory worker = new Kit.Faktory(port, wid)) {
                while (true) {
                    worker.command("FETCH cierre");
                    String unit = worker.reply(10_000);
                    if (unit == null) {
                        continue;
                    }
                    String jid = Kit.field(unit, "jid");
                    Kit.note(wid + " gets " + unit);
                    Kit.sleep(100);
                    Set<String> done = DONE_BY.computeIfAbsent(Kit.field(unit, "idempotency_key"), k -> new TreeSet<>());
                    boolean first;
                    synchronized (done) {
                        first = done.isEmpty();
                        done.add(wid);
                    }
                    Kit.note(wid + " has done " + jid);
                    if (Kit.TROUBLE && first && RESET.equals(jid)) {
                        Kit.note(wid + " loses its connection before its ACK");
                        worker.reset();
                        Kit.sleep(300);
                        break;
                    }
                    worker.command("ACK {\"jid\":\"" + jid + "\"}");
                    worker.reply(5_000);
                }
            } catch (IOException e) {
                Kit.note(wid + ": " + e);
                Kit.sleep(300);
            }
        }
    }
}
