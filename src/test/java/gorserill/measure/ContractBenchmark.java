package gorserill.measure;

import gorserill.contract.Call;
import gorserill.contract.Contract;
import gorserill.contract.ContractReader;
import gorserill.contract.Door;
import gorserill.contract.Verdict;
import gorserill.contract.read.Faults;
import gorserill.contract.read.Headroom;
import gorserill.contract.read.Library;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What the door costs: matching a path among many, and validating bodies. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 2,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-Xmx512m"})
public class ContractBenchmark {
    private static final String START =
            "{\"openapi\":\"3.1.0\",\"info\":{\"title\":\"t\",\"version\":\"1\"},\"paths\":{";

    private record Asked(String path, String contentType, byte[] body) implements Call {
        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String query() {
            return null;
        }

        @Override
        public String header(String name) {
            return name.equals("content-type") ? contentType : null;
        }
    }

    static Contract read(String text) throws IOException {
        Path file = Files.createTempFile("benchmark", ".json");
        Files.writeString(file, text);
        Faults faults = new Faults();
        Contract contract = ContractReader.read(() -> Library.open(file, faults, Headroom.UNLIMITED), faults, null);
        if (contract == null) {
            throw new IllegalStateException(faults.text());
        }
        return contract;
    }

    /** So many operations, half of them under templates, among which requests go round. */
    @State(Scope.Thread)
    public static class Many {
        @Param({"10", "100", "1000"})
        public int operations;

        private Contract contract;
        private Call[] calls;
        private int next;

        @Setup
        public void make() throws IOException {
            StringBuilder text = new StringBuilder(START);
            calls = new Call[operations];
            for (int i = 0; i < operations; i++) {
                String path = "/area" + i % 7 + "/thing" + i;
                text.append(i == 0 ? "" : ",")
                        .append("\"")
                        .append(path)
                        .append(i % 2 == 0 ? "/{id}/state" : "/state/all")
                        .append("\":{\"post\":{\"operationId\":\"o")
                        .append(i)
                        .append("\"")
                        .append(
                                i % 2 == 0
                                        ? ",\"parameters\":[{\"name\":\"id\",\"in\":\"path\",\"required\":true,"
                                                + "\"schema\":{}}]"
                                        : "")
                        .append("}}");
                calls[i] = new Asked(path + (i % 2 == 0 ? "/c" + i + "/state" : "/state/all"), null, new byte[0]);
            }
            contract = read(text.append("}}").toString());
        }
    }

    @Benchmark
    public Verdict match(Many many) {
        many.next = many.next + 1 == many.calls.length ? 0 : many.next + 1;
        Verdict verdict = Door.decide(many.contract, many.calls[many.next], 65_536);
        if (!verdict.letIn()) {
            throw new IllegalStateException(verdict.problem().line());
        }
        return verdict;
    }

    /** A body of readings, each an object with four members. */
    @State(Scope.Thread)
    public static class Body {
        @Param({"1", "64"})
        public int kib;

        private Contract contract;
        private Call call;

        @Setup
        public void make() throws IOException {
            contract = read(START + """
                "/j":{"post":{"requestBody":{"content":{"application/json":{"schema":{"type":"object",
                "required":["readings"],"properties":{"readings":{"type":"array","items":{"type":"object",
                "required":["room","t"],"additionalProperties":false,"properties":{"room":{"type":"string",
                "pattern":"^c[0-9]+$"},
                "t":{"type":"number","minimum":-40,"maximum":60},"ok":{"type":"boolean"},
                "state":{"enum":["open","shut"]}}}}}}}}}}}}}""");
            StringBuilder text = new StringBuilder("{\"readings\":[");
            for (int i = 0; text.length() < kib * 1024 - 70; i++) {
                text.append(i == 0 ? "" : ",")
                        .append("{\"room\":\"c")
                        .append(i)
                        .append("\",\"t\":-18.5,\"ok\":true,\"state\":\"shut\"}");
            }
            call = new Asked(
                    "/j", "application/json", text.append("]}").toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    @Benchmark
    public Verdict validate(Body body) {
        Verdict verdict = Door.decide(body.contract, body.call, 65_536);
        if (!verdict.letIn()) {
            throw new IllegalStateException(verdict.problem().line());
        }
        return verdict;
    }
}
