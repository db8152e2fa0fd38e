package gorserill.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code cluster} subcommand: sends a call to the operators' address of a running node and prints its answer.
 * Exit status: 0 the call succeeded, 1 it failed, 2 wrong arguments.
 */
@Command(
        name = "cluster",
        mixinStandardHelpOptions = true,
        description = "Queries the cluster state of a running node, or changes the cluster.")
final class ClusterCommand implements Callable<Integer> {
    private static final Set<String> QUERIES = Set.of("status", "members", "owners", "budgets");
    private static final int TIMEOUT_MS = 3_000;
    private static final int MAX_ANSWER_BYTES = 4 << 20;

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "WHAT",
            description = "status, members, owners or budgets; transfer PIECE [NODE]; "
                    + "replace-voter OLD NEW; permit; release NODE")
    private List<String> callWords;

    @Option(
            names = "--at",
            required = true,
            description = "the operators' address (admin_addr) of a node, as HOST:PORT")
    private String at;

    @Option(names = "--json", description = "print the node's answer as one line of JSON")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        boolean query = QUERIES.contains(callWords.get(0));
        int colon = at.lastIndexOf(':');
        if (colon < 1 || !at.substring(colon + 1).matches("[0-9]{1,5}")) {
            throw new ParameterException(spec.commandLine(), "--at '" + at + "' is not HOST:PORT");
        } else if (json && !query) {
            throw new ParameterException(spec.commandLine(), "--json is valid only with one of " + QUERIES);
        }
        PrintWriter out = spec.commandLine().getOut();
        String answer;
        try {
            answer = sendCall(
                    new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1))),
                    "cluster " + String.join(" ", callWords) + (query ? " json" : ""));
        } catch (IOException e) {
            spec.commandLine()
                    .getErr()
                    .println("no answer from " + at + ": " + e.getMessage()
                            + "; check that this is the admin_addr of a running node");
            return 1;
        }
        if (!answer.startsWith("{")) {
            (answer.startsWith("ok") ? out : spec.commandLine().getErr()).println(answer);
            return answer.startsWith("ok") ? 0 : 1;
        } else if (json) {
            out.println(answer);
        } else {
            new ObjectMapper()
                    .readTree(answer)
                    .fields()
                    .forEachRemaining(kind -> printTable(out, kind.getKey(), kind.getValue()));
        }
        return 0;
    }

    private static String sendCall(InetSocketAddress address, String call) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
            String text = new String(socket.getInputStream().readNBytes(MAX_ANSWER_BYTES), StandardCharsets.UTF_8);
            return text.lines()
                    .findFirst()
                    .orElseThrow(() -> new IOException("the connection was closed without an answer"));
        }
    }

    /** Prints rows as a table: the name first, then a column for each field that occurs in any row. */
    private static void printTable(PrintWriter out, String kind, JsonNode rows) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns.stream().map(c -> c.equals("name") ? kind : c).toList());
        rows.forEach(
                row -> lines.add(columns.stream().map(c -> row.path(c).asText()).toList()));
        int[] widths = new int[columns.size()];
        lines.forEach(line -> {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        });
        lines.forEach(line -> {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                text.append(line.get(i))
                        .append(" ".repeat(widths[i] - line.get(i).length() + 2));
            }
            out.println(text.toString().stripTrailing());
        });
        out.println();
    }
}
