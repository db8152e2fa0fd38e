import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One HTTP client names Faktory's media type for a body that is no Faktory job; others send jobs before and after. */
final class ForeignUnit {
    /** Jobs before the one with the odd body, and after it. */
    private static final int JOBS = 20;

    private static final int RUN_MILLIS = 400;
    /** A node that rejects so many, for so long on end, with no attempt in between, has not gone on. */
    private static final int REJECTED = 15;

    private static final int REJECTING_MILLIS = 4_000;
    private static final AtomicInteger ATTEMPTS = new AtomicInteger();

    private ForeignUnit() {}

    public static void main(String[] args) throws IOException {
        Kit.main(args, ForeignUnit::run);
    }

    private static boolean run() throws Exception {
        Kit.Server discovery = Kit.discovery(List.of());
        Kit.NodeProcess node = new Kit.NodeProcess("n0");
        node.write("node.json", Kit.nodeJson(node, discovery.port(), 0, "zone", List.of()));
        node.write("faktory.json", "{\"enabled\": true, \"listen\": \"127.0.0.1:" + node.faktory
                + "\", \"queues\": {\"historial\": \"historial\", \"alerta\": \"alerta\"}}");
        node.environment.put("GORSERILL_FAKTORY", node.home.resolve("faktory.json").toString());
        node.start();
        node.awaitReady();
        for (int i = 0; i < 4; i++) {
            Kit.thread("camara-1", () -> work(node.faktory));
        }
        Kit.sleep(1_000);
        List<Long> rejected = new ArrayList<>();
        int before = send(node, "before", rejected);
        Kit.require(before > JOBS / 2, "only " + before + " jobs were served before");
        for (String queue : List.of("historial", "alerta")) {
            try (Kit.Client client = new Kit.Client(node.clients)) {
                client.send(
                        "POST",
                        "/" + queue,
                        "review-odd-" + queue,
                        "X-Remaining-Ms: 5000\r\nContent-Type: "
                                + (Kit.TROUBLE ? "application/vnd.faktory.job+json" : "text/plain") + "\r\n",
                        Kit.ascii("reading 7"));
                Kit.note("the odd job of " + queue + " is answered " + client.answer(10_000).first());
            }
        }
        rejected.clear();
        int attempts = ATTEMPTS.get();
        int after = send(node, "after", rejected);
        attempts = ATTEMPTS.get() - attempts;
        rejected.sort(null);
        long span = rejected.isEmpty() ? 0 : rejected.get(rejected.size() - 1) - rejected.get(0);
        Kit.note("served: " + before + " of " + JOBS + " before, " + after + " of " + JOBS + " after; " + rejected.size()
                + " rejected in " + span + " ms, " + attempts + " attempts in between");
        return !(rejected.size() >= REJECTED && span >= REJECTING_MILLIS && attempts == 0);
    }

    /** Sends jobs over both fronts, half a second apart; gives how many were served. */
    private static int send(Kit.NodeProcess node, String when, List<Long> rejected) throws Exception {
        List<Integer> served = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            Thread client = new Thread(() -> {
                String heard;
                String id = "review-" + when + "-" + number;
                try {
                    if (number % 2 == 0) {
                        try (Kit.Client http = new Kit.Client(node.clients)) {
                            http.send("POST", "/historial", id, "X-Remaining-Ms: 6000\r\n", Kit.ascii("x"));
                            heard = http.answer(10_000).first();
                        }
                    } else {
                        try (Kit.Faktory faktory = new Kit.Faktory(node.faktory, null)) {
                            faktory.command("PUSH {\"jid\":\"" + id + "\",\"jobtype\":\"alerta\",\"queue\":\"alerta\",\"args\":[]}");
                            heard = faktory.reply(10_000);
                        }
                    }
                } catch (IOException e) {
                    heard = e.toString();
                }
                Kit.note(id + " hears " + heard);
                if (heard.contains(" 503 ") || heard.contains(" 429 ") || heard.startsWith("-ERR refused")) {
                    synchronized (rejected) {
                        rejected.add(Kit.millis());
                    }
                }
                if (heard.equals("OK") || heard.contains(" 200 ")) {
                    synchronized (served) {
                        served.add(number);
                    }
                }
            });
            client.setDaemon(true);
            client.start();
            clients.add(client);
            Kit.sleep(500);
        }
        for (Thread client : clients) {
            client.join(12_000);
        }
        synchronized (served) {
            return served.size();
        }
    }

    private static void work(int port) {
        try (Kit.Faktory worker = new Kit.Faktory(port, "camara-1")) {
            while (true) {
                worker.command("FETCH historial alerta");
                String unit = worker.reply(10_000);
                if (unit != null) {
                    ATTEMPTS.incrementAndGet();
                    Kit.note("camara-1 gets " + unit);
                    Kit.sleep(RUN_MILLIS);
                    worker.command("ACK {\"jid\":\"" + Kit.field(unit, "jid") + "\"}");
                    worker.reply(5_000);
                }
            }
        } catch (IOException e) {
            Kit.note("camara-1: " + e);
        }
    }
}
