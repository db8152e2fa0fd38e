package gorserill.contract;

import barrowflow.Dispatcher.Effect;
import gorserill.contract.read.Fault;
import gorserill.contract.read.Faults;
import gorserill.contract.read.Headroom;
import gorserill.contract.read.Library;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A description under test: written to a folder of its own, read, asked. */
final class Described {
    static final Map<String, JobRule> RULES = new LinkedHashMap<>();

    static {
        RULES.put("estado", new JobRule("estado", 0, Effect.SAFE, 2_000_000));
        RULES.put("alerta", new JobRule("alerta", 1, Effect.UNSAFE, 2_000_000));
        RULES.put("cierre", new JobRule("cierre", 2, Effect.KEYED, 2_000_000));
    }

    final Faults faults = new Faults();
    final Contract contract;
    final Path folder;

    /** @param files name and text by turns, the first one the description */
    Described(Map<String, JobRule> rules, String... files) {
        try {
            folder = Files.createTempDirectory("described").toRealPath();
            for (int i = 0; i < files.length; i += 2) {
                Files.createDirectories(folder.resolve(files[i]).getParent());
                Files.writeString(folder.resolve(files[i]), files[i + 1]);
            }
            contract = ContractReader.read(
                    () -> Library.open(folder.resolve(files[0]), faults, Headroom.UNLIMITED), faults, rules);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    static Described yaml(String text) {
        return new Described(RULES, "d.yaml", text);
    }

    /** An OpenAPI 3.1 description with these paths, in YAML, indented by two. */
    static Described paths(String paths) {
        return yaml("openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n" + paths.indent(2));
    }

    /** The faults as text, without the folder. */
    List<String> told() {
        return faults.all().stream()
                .map(Fault::toString)
                .map(line -> line.replace(folder + "/", ""))
                .toList();
    }

    /** Asks for a POST with a body of JSON; null for none. */
    Verdict post(String target, String body, String... headers) {
        return ask("POST", target, body, headers);
    }

    Verdict ask(String method, String target, String body, String... headers) {
        Map<String, String> fields = new HashMap<>();
        if (body != null) {
            fields.put("content-type", "application/json");
        }
        for (int i = 0; i < headers.length; i += 2) {
            fields.put(headers[i], headers[i + 1]);
        }
        return Door.decide(
                contract,
                new Asked(method, target, fields, body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8)),
                65_536);
    }

    Verdict decide(Generated.Asked asked) {
        Map<String, String> fields = new HashMap<>();
        asked.headers().forEach((name, value) -> fields.put(name.toLowerCase(Locale.ROOT), value));
        return Door.decide(contract, new Asked(asked.method(), asked.target(), fields, asked.body()), 65_536);
    }

    record Asked(String method, String target, Map<String, String> fields, byte[] body) implements Call {
        @Override
        public String path() {
            return target.split("\\?", 2)[0];
        }

        @Override
        public String query() {
            return target.contains("?") ? target.split("\\?", 2)[1] : null;
        }

        @Override
        public String header(String name) {
            return fields.get(name);
        }
    }

    /** The status that a request gets at the door; 0 where it is let in. */
    static int status(Verdict verdict) {
        return verdict.letIn() ? 0 : verdict.problem().status();
    }
}
