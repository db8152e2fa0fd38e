package gorserill.program.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real process of the program, on a loopback address of its own: no other run and no other node has it. */
final class ServeNode {
    private static final Pattern LIST = Pattern.compile(" list ([\\d,.]+): ");
    private static final String SETTINGS = "/gorserill/program/demo.json";
    private static final String NONE = "none";
    /** Addresses are 127.FIRST.x.y and on, by this process's id. */
    private static final int FIRST = 16;

    private static final int BLOCKS = 48;
    static final int CLIENTS = 7_000;
    private static final int OPERATORS = 7_001;
    /** Where a voter hears the cluster. */
    static final int WIRE = 7_002;

    private static final int STEP = 5;
    private static final long START = 30;

    final int index;
    final LearnTimes learned = new LearnTimes();
    private final InetSocketAddress clients;
    private final Child child;
    private final long started = System.nanoTime();
    private double readyMillis = Double.NaN;

    /**
     * Starts it.
     *
     * @param known the list of workers that it begins with, as a deployment gives the one last known
     */
    ServeNode(
            int index,
            ScalePlan plan,
            FleetList.Told known,
            ScaleDiscovery discovery,
            Commands commands,
            Children children,
            Path folder)
            throws IOException {
        this.index = index;
        String name = "n" + index;
        InetAddress own = address(index);
        clients = new InetSocketAddress(own, CLIENTS);
        Path its = Files.createDirectories(folder.resolve(name));
        Files.writeString(
                its.resolve("node.json"),
                settings(plan, own)
                        .replace("\"demo\"", "\"" + name + "\"")
                        .replace("{\"index\": 1, \"snapshot\": true, \"endpoints\": []}", known.json())
                        .replace("127.0.0.1:DISCOVERY", text(discovery.address())));
        String cluster = NONE;
        if (plan.hollowNodes() > 0) {
            Path file = its.resolve("cluster.json");
            Files.writeString(file, new ClusterTerms(plan.nodes(), plan.allNodes()).file(index, its));
            cluster = file.toString();
        }
        child = children.add(new Child(
                name,
                commands.node(),
                Map.of(
                        "NODE_CONFIG",
                        its.resolve("node.json").toString(),
                        "GORSERILL_FAKTORY",
                        NONE,
                        "GORSERILL_CLUSTER",
                        cluster,
                        "TMPDIR",
                        its.toString()),
                its.resolve("log.txt"),
                this::heard));
    }

    /** The address of its own that a node has. */
    static InetAddress address(int index) throws IOException {
        long block = ProcessHandle.current().pid();
        return InetAddress.getByAddress(
                new byte[] {127, (byte) (FIRST + (block >> 8) % BLOCKS), (byte) block, (byte) (index + 1)});
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String settings(ScalePlan plan, InetAddress own) throws IOException {
        String host = own.getHostAddress();
        try (InputStream text = ServeNode.class.getResourceAsStream(SETTINGS)) {
            return new String(text.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("127.0.0.1:CLIENTS", host + ":" + CLIENTS)
                    .replace("127.0.0.1:OPERATORS", host + ":" + OPERATORS)
                    .replace("\"instances\": 1", tenants(plan) + "\"instances\": " + plan.nodes());
        }
    }

    /** The tenants share what all nodes together are asked for, evenly. */
    private static String tenants(ScalePlan plan) {
        if (plan.tenants() == 0) {
            return "";
        }
        StringBuilder text = new StringBuilder("\"over_share_worth\": 0.05, \"tenants\": [");
        double quota = (double) plan.rate() * plan.nodes() / plan.tenants();
        for (int t = 0; t < plan.tenants(); t++) {
            text.append(t > 0 ? "," : "")
                    .append("{\"name\":\"")
                    .append(tenant(t))
                    .append("\",\"quota_per_s\":")
                    .append(quota)
                    .append(",\"share\":")
                    .append(1.0 / plan.tenants())
                    .append('}');
        }
        return text.append("], ").toString();
    }

    /** The name of a tenant by its place. */
    static String tenant(int place) {
        return "t" + place;
    }

    private boolean heard(String line) {
        Matcher list = LIST.matcher(line);
        if (list.find()) {
            learned.heard(Long.parseLong(list.group(1).replaceAll("\\D", "")), System.currentTimeMillis());
        }
        return false;
    }

    /** Waits until it serves. */
    void awaitReady(Children children) throws IOException, InterruptedException {
        byte[] question = "GET /healthz HTTP/1.1\r\nHost: scale\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        long until = started + TimeUnit.SECONDS.toNanos(START);
        while (!answers(question)) {
            children.mustLive();
            if (System.nanoTime() > until) {
                throw new ScaleException("n" + index + " does not serve " + START + " s after its start");
            }
            Thread.sleep(STEP);
        }
        readyMillis = (System.nanoTime() - started) / 1e6;
    }

    private boolean answers(byte[] question) {
        try (ClientConnection connection = new ClientConnection(clients)) {
            return connection.exchange(question, 1_000).served();
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress clients() {
        return clients;
    }

    ProcessHandle process() {
        return child.handle();
    }

    /** From its start until it served. */
    double readyMillis() {
        return readyMillis;
    }
}
