package gorserill.program;

import gorserill.transport.ReservedPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The files and addresses that a node under test is told. */
final class Fixture {
    final InetSocketAddress clients = ReservedPort.reserveUntilExit();
    final InetSocketAddress faktory = ReservedPort.reserveUntilExit();
    final Map<String, String> environment = new HashMap<>();
    final String faktoryText;
    private final Path folder = Files.createTempDirectory("gorserill");
    private final Path config = folder.resolve("config.json");
    private final Path front = folder.resolve("faktory.json");
    private final String known;
    private final int idleMillis;
    private final int sockets;
    private final int memory;

    /** @param known JSON entries of the list that the node had last */
    Fixture(InetSocketAddress discovery, String known, int idleMillis, String faktoryFile) throws IOException {
        this(discovery, known, idleMillis, 1024, 192, faktoryFile);
    }

    Fixture(InetSocketAddress discovery, String known, int idleMillis, int sockets, int memory, String faktoryFile)
            throws IOException {
        this.known = known;
        this.idleMillis = idleMillis;
        this.sockets = sockets;
        this.memory = memory;
        faktoryText = faktoryFile;
        configure(discovery, faktoryFile);
        environment.put("NODE_CONFIG", config.toString());
        environment.put("GORSERILL_FAKTORY", front.toString());
    }

    /** The node is told that it is one of so many. */
    Fixture amongNodes(int nodes) throws IOException {
        Files.writeString(config, Files.readString(config).replace("\"instances\":1,", "\"instances\":" + nodes + ","));
        return this;
    }

    /** Lists are pushed to an agent beside the node. */
    Fixture pushed() throws IOException {
        Files.writeString(config, Files.readString(config).replace("\"on_request\"", "\"pushed\""));
        return this;
    }

    /** The node is told of two tenants, {@code ana} and {@code ben}, with so many jobs a second each. */
    Fixture withTenants(int perSecond) throws IOException {
        String tenants = "\"over_share_worth\":0.05,\"tenants\":[{\"name\":\"ana\",\"quota_per_s\":"
                + perSecond
                + ",\"share\":0.5},{\"name\":\"ben\",\"quota_per_s\":" + perSecond + ",\"share\":0.5}],";
        Files.writeString(config, Files.readString(config).replace("\"instances\":1,", tenants + "\"instances\":1,"));
        return this;
    }

    /** Writes the files, for the first time or anew. */
    void configure(InetSocketAddress discovery, String faktoryFile) {
        try {
            Files.writeString(
                    config,
                    CONFIG.formatted(text(clients), text(discovery), memory, sockets, known, idleMillis * 1_000L));
            Files.writeString(front, faktoryFile.replace("LISTEN", text(faktory)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The command {@code serve} in a JVM of its own with these options; its log goes to standard output. */
    ProcessBuilder program(String... jvmOptions) {
        List<String> command = new ArrayList<>(List.of("java"));
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "gorserill.program.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        return builder;
    }

    /** The node is to listen for operators, too; gives where. */
    InetSocketAddress operators() throws IOException {
        InetSocketAddress at = ReservedPort.reserveUntilExit();
        environment.put("NODE_ADMIN_ADDR", text(at));
        return at;
    }

    static String endpoint(String name, InetSocketAddress address, String status) {
        return """
            {"name":"%s","address":"%s","zone":"a","type":"std4","group":0,"status":"%s","since_ms":0}
            """.formatted(name, text(address), status).strip();
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static final String FAKTORY_ON = """
        {"enabled":true,"listen":"LISTEN","password":"secret",
         "queues":{"alertas":"alerta","estados":"estado"},"jobtypes":{"Cerrar":"cierre"}}
        """;

    private static final String CONFIG = """
        {"name":"n1","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
         "known":{"index":41,"snapshot":true,"endpoints":[%s]},
         "settings":{"instances":1,"zone":0,"areas":["a","b"],"shapes":["std4"],
          "caps":{"max_attempts":5,"may_cancel":true,"retry_after":true,"max_retry_after_us":2000000,
                  "connect_timeout_us":250000,"conn_idle_us":%d},
          "obligations":{"cold_from":0.13,"warm_up_us":24000000,"fall_multiple":4.0,"fall_us":2000000},
          "registry_mode":"on_request","report":{"how":"piggyback","names":["util","eps","x0"]},
          "domain":{"report_x0":"free slots","tells_start":true,"class_stretch":[2.5,2.0,2.5,2.0],
                    "class_kind":[-1,-1,-1,-1]},
          "request_classes":[
           {"name":"estado","aim_us":400000,"deadline_us":5000000,"worth":5.0,"effect":"read_like"},
           {"name":"historial","aim_us":400000,"deadline_us":6000000,"worth":2.0,"effect":"read_like"},
           {"name":"alerta","aim_us":400000,"deadline_us":6000000,"worth":5.0,"effect":"non_idempotent"},
           {"name":"cierre","aim_us":400000,"deadline_us":6000000,"worth":3.0,"effect":"idempotency_key",
            "dedup_scope":"zone","dedup_window_us":10000000}]}}
        """;
}
