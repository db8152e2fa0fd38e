import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A contract is changed in one word and put in force by SIGHUP while jobs run. */
final class ContractReload {
    private static final int OPERATIONS = 600;
    private static final int FIELDS = 20;
    private static final int RUN_MILLIS = 600;

    private ContractReload() {}

    public static void main(String[] args) throws IOException {
        Kit.main(args, ContractReload::run);
    }

    private static boolean run() throws Exception {
        List<Kit.Worker> workers = List.of(
                new Kit.Worker("w0", "quito-norte", job -> RUN_MILLIS), new Kit.Worker("w1", "quito-norte", job -> RUN_MILLIS));
        Kit.NodeProcess node = new Kit.NodeProcess("n0");
        node.write("node.json", Kit.nodeJson(node, Kit.discovery(workers).port(), 0, "zone", workers));
        node.write("openapi.json", description("1.0"));
        node.environment.put("GORSERILL_OPENAPI", node.home.resolve("openapi.json").toString());
        node.environment.put("GORSERILL_FAKTORY", "none");
        Path next = node.home.resolve("next.json");
        node.write("next.json", description("1.1"));
        Kit.note("the next contract has " + OPERATIONS + " operations and " + Files.size(next) + " bytes");
        Kit.require(
                check(next, node.home.resolve("node.json")) == 0, "the program's own check finds the contract faulty");
        node.start();
        node.awaitReady();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int number = i;
            Thread thread = new Thread(() -> client(node, number, sent, answered, stop));
            thread.setDaemon(true);
            thread.start();
            clients.add(thread);
        }
        Kit.sleep(3_000);
        Kit.require(answered.get() > 0, "no job was answered before");
        if (Kit.TROUBLE) {
            Files.move(next, node.home.resolve("openapi.json"), StandardCopyOption.ATOMIC_MOVE);
            node.signal("HUP");
        }
        Kit.sleep(12_000);
        stop.set(true);
        for (Thread client : clients) {
            client.join(12_000);
        }
        boolean alive = node.process.isAlive();
        Kit.note(
                alive
                        ? "the node runs: " + String.valueOf(node.callAll("contract")).strip()
                        : "the node has ended with " + node.process.exitValue());
        Kit.note(sent.get() + " jobs were sent, " + answered.get() + " answered");
        return alive && sent.get() == answered.get();
    }

    /** Sends one job after another on a connection, until the node is gone. */
    private static void client(
            Kit.NodeProcess node, int number, AtomicInteger sent, AtomicInteger answered, AtomicBoolean stop) {
        try (Kit.Client client = new Kit.Client(node.clients)) {
            for (int i = 0; !stop.get(); i++) {
                client.send(
                        "POST",
                        "/historial",
                        "review-" + number + "-" + i,
                        "Content-Type: application/json\r\nX-Remaining-Ms: 6000\r\n",
                        Kit.ascii("{}"));
                sent.incrementAndGet();
                Kit.Message answer = client.answer(10_000);
                answered.incrementAndGet();
                if (answer.status() != 200) {
                    Kit.note("client " + number + " hears " + answer.first());
                    Kit.sleep(300);
                }
            }
        } catch (IOException e) {
            Kit.note("client " + number + ": " + e);
        }
    }

    private static int check(Path file, Path settings) throws Exception {
        Process check = new ProcessBuilder(
                        "java", "-jar", "target/gorserill.jar", "contract", "check", file.toString(), "--settings", settings.toString())
                .redirectErrorStream(true)
                .start();
        String said = new String(check.getInputStream().readAllBytes()).strip();
        Kit.require(check.waitFor(30, TimeUnit.SECONDS), "the check does not end");
        Kit.note("contract check: " + (said.isEmpty() ? "" : said + ", ") + "exit status " + check.exitValue());
        return check.exitValue();
    }

    private static String description(String version) {
        StringBuilder text = new StringBuilder("{\"openapi\":\"3.1.0\",\"info\":{\"title\":\"gateways\",\"version\":\"")
                .append(version)
                .append("\"},\"paths\":{");
        for (int i = 0; i < OPERATIONS; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("\n\"/historial")
                    .append(i == 0 ? "" : "/camara-" + i)
                    .append("\":{\"post\":{\"operationId\":\"read-")
                    .append(i)
                    .append("\",\"x-gorserill-class\":\"historial\",\"requestBody\":{\"content\":{\"application/json\":")
                    .append("{\"schema\":{\"type\":\"object\",\"properties\":{");
            for (int f = 0; f < FIELDS; f++) {
                text.append(f == 0 ? "" : ",")
                        .append("\"reading-")
                        .append(f)
                        .append("\":{\"type\":\"string\",\"maxLength\":200,\"description\":\"Reading of sensor ")
                        .append(f)
                        .append("\"}");
            }
            text.append("}}}}},\"responses\":{\"200\":{\"description\":\"served\"}}}}");
        }
        return text.append("}}").toString();
    }
}
