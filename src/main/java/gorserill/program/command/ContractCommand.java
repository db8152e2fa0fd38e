package gorserill.program.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.contract.Call;
import gorserill.contract.Comparison;
import gorserill.contract.Contract;
import gorserill.contract.ContractReader;
import gorserill.contract.Door;
import gorserill.contract.Effects;
import gorserill.contract.Export;
import gorserill.contract.JobRule;
import gorserill.contract.Operation;
import gorserill.contract.Problem;
import gorserill.contract.Sourced;
import gorserill.contract.Verdict;
import gorserill.contract.read.Fault;
import gorserill.contract.read.Faults;
import gorserill.contract.read.Headroom;
import gorserill.contract.read.Library;
import gorserill.program.ConfigException;
import gorserill.program.NodeConfig;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code contract} subcommands, which work on OpenAPI and AsyncAPI descriptions without a running node. */
@Command(
        name = "contract",
        description = "Checks, shows and compares OpenAPI and AsyncAPI descriptions.",
        subcommands = {
            ContractCommand.CheckCommand.class,
            ContractCommand.ShowCommand.class,
            ContractCommand.MatchCommand.class,
            ContractCommand.DiffCommand.class,
            ContractCommand.ExportCommand.class
        },
        mixinStandardHelpOptions = true)
public final class ContractCommand implements Runnable {
    /** Limit on a request body; the same as at the node's HTTP listener. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(), "a subcommand is required: check, show, match, diff or export");
    }

    /** Output formats; the constants are the values of {@code --format}. */
    enum Format {
        text,
        json
    }

    /** Options and helpers that all subcommands share. */
    @Command(mixinStandardHelpOptions = true)
    abstract static class ContractSubcommand implements Callable<Integer> {
        @Spec
        protected CommandSpec spec;

        @Option(names = "--format", description = "text or json; default text", defaultValue = "text")
        protected Format format;

        protected PrintWriter out() {
            return spec.commandLine().getOut();
        }

        protected PrintWriter err() {
            return spec.commandLine().getErr();
        }

        protected int print(ObjectNode json) {
            out().println(json.toPrettyString());
            out().flush();
            return 0;
        }

        /** Returns the job classes of a node's configuration, or null if no configuration is given. */
        protected Map<String, JobRule> rules(Path settings) {
            try {
                return settings == null ? null : NodeConfig.jobRules(settings);
            } catch (ConfigException e) {
                throw new ParameterException(spec.commandLine(), settings + ": " + e.getMessage());
            }
        }

        /** Reads a contract and prints its faults; returns null if it has errors. */
        protected Contract contract(Path file, Map<String, JobRule> rules) {
            Faults faults = new Faults();
            Contract contract =
                    ContractReader.read(() -> Library.open(file, faults, Headroom.UNLIMITED), faults, rules);
            err().print(faults.text());
            err().flush();
            return contract;
        }
    }

    /** A subcommand with an optional node configuration. */
    abstract static class SettingsSubcommand extends ContractSubcommand {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "a node's configuration, as in NODE_CONFIG; if absent, job classes are not checked")
        protected Path settings;
    }

    @Command(
            name = "check",
            description = "Reports all faults of descriptions; exit status 0 if there is no error, else 1.")
    static final class CheckCommand extends SettingsSubcommand {
        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Override
        public Integer call() {
            Map<String, JobRule> rules = rules(settings);
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            ArrayNode list = json.putArray("faults");
            boolean sound = true;
            for (Path file : files) {
                Faults faults = new Faults();
                Contract contract =
                        ContractReader.read(() -> Library.open(file, faults, Headroom.UNLIMITED), faults, rules);
                sound &= faults.sound();
                faults.all().forEach(fault -> add(list, fault));
                if (format == Format.text) {
                    out().print(faults.text());
                    out().println(file + ": "
                            + (contract == null
                                    ? faults.errors() + " faults"
                                    : "sound, " + contract.operations().size() + " operations"));
                }
            }
            if (format == Format.json) {
                print(json.put("sound", sound));
            }
            out().flush();
            return sound ? 0 : 1;
        }

        private static void add(ArrayNode list, Fault fault) {
            list.addObject()
                    .put("severity", fault.error() ? "error" : "warning")
                    .put("file", fault.place().file())
                    .put("line", fault.place().line())
                    .put("column", fault.place().column())
                    .put("pointer", fault.place().pointer())
                    .put("what", fault.what())
                    .put("remedy", fault.remedy());
        }
    }

    @Command(name = "show", description = "Shows the terms derived for each operation, and their sources.")
    static final class ShowCommand extends SettingsSubcommand {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            Contract contract = contract(file, rules(settings));
            if (contract == null) {
                return 1;
            }
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            json.put("title", contract.title()).put("version", contract.version());
            ArrayNode list = json.putArray("operations");
            contract.operations().forEach(operation -> list.add(toJson(operation)));
            if (format == Format.json) {
                return print(json);
            }
            out().println(contract.title() + " " + contract.version());
            contract.operations().forEach(operation -> out().print(text(operation)));
            out().flush();
            return 0;
        }
    }

    private static ObjectNode toJson(Operation operation) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("operation", operation.id())
                .put("method", operation.method())
                .put("address", operation.address())
                .put("place", operation.place());
        terms(operation)
                .forEach((name, term) ->
                        json.putObject(name).put("value", valueText(term)).put("source", term.source()));
        return json;
    }

    private static String text(Operation operation) {
        StringBuilder text = new StringBuilder();
        text.append(operation.id())
                .append("  ")
                .append(operation.method() == null ? "message to" : operation.method())
                .append(' ')
                .append(operation.address())
                .append('\n');
        terms(operation)
                .forEach((name, term) -> text.append(
                        String.format(Locale.ROOT, "    %-9s %s  (%s)%n", name, valueText(term), term.source())));
        return text.toString();
    }

    private static String valueText(Sourced<?> term) {
        return term.value() instanceof barrowflow.Dispatcher.Effect effect
                ? Effects.word(effect)
                : term.value().toString().toLowerCase(Locale.ROOT);
    }

    private static Map<String, Sourced<?>> terms(Operation operation) {
        Map<String, Sourced<?>> terms = new java.util.LinkedHashMap<>();
        terms.put("class", operation.terms().jobClass());
        terms.put("effect", operation.terms().effect());
        terms.put("key", operation.terms().key());
        terms.put(
                "deadline",
                operation.terms().deadline() == null
                        ? null
                        : new Sourced<>(
                                operation.terms().deadline().value() / 1_000 + " ms",
                                operation.terms().deadline().source()));
        terms.put("slots", operation.terms().slots());
        terms.put("answers", operation.terms().answers());
        for (Operation.Message message : operation.messages()) {
            terms.put(
                    "message",
                    new Sourced<>(
                            message.name()
                                    + (message.correlation() == null ? "" : ", correlated by " + message.correlation()),
                            "messages of " + operation.place()));
        }
        terms.values().removeIf(java.util.Objects::isNull);
        return terms;
    }

    @Command(
            name = "diff",
            description = "Lists each change as compatible or breaking; exit status 0 if none is breaking, else 1.")
    static final class DiffCommand extends SettingsSubcommand {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path oldFile;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path newFile;

        @Override
        public Integer call() {
            Map<String, JobRule> rules = rules(settings);
            Contract oldContract = contract(oldFile, rules);
            Contract newContract = contract(newFile, rules);
            if (oldContract == null || newContract == null) {
                return 1;
            }
            List<Comparison.Change> changes = Comparison.compare(oldContract, newContract);
            long breaking = changes.stream().filter(Comparison.Change::breaking).count();
            if (format == Format.json) {
                ObjectNode json = JsonNodeFactory.instance.objectNode().put("breaking", breaking);
                ArrayNode list = json.putArray("changes");
                changes.forEach(change -> list.addObject()
                        .put("breaking", change.breaking())
                        .put("side", change.side().name().toLowerCase(Locale.ROOT))
                        .put("operation", change.operation())
                        .put("where", change.where())
                        .put("what", change.what()));
                print(json);
            } else {
                changes.forEach(change -> out().println(change));
                out().println(changes.size() + " changes, " + breaking + " breaking");
                out().flush();
            }
            return breaking == 0 ? 0 : 1;
        }
    }

    /** Writes {@code openapi.json} and {@code asyncapi.json}, which describe a node's HTTP and Faktory listeners. */
    public static void export(Path settings, Path folder) throws IOException, ConfigException {
        Collection<JobRule> rules = NodeConfig.jobRules(settings).values();
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("openapi.json"), Export.openApi(rules).toPrettyString() + "\n");
        Files.writeString(
                folder.resolve("asyncapi.json"), Export.asyncApi(rules).toPrettyString() + "\n");
    }

    @Command(
            name = "export",
            description = "Generates the descriptions of a node's HTTP and Faktory listeners from its settings.")
    static final class ExportCommand extends ContractSubcommand {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                required = true,
                description = "a node's configuration, as in NODE_CONFIG")
        private Path settings;

        @Option(
                names = "--to",
                paramLabel = "FOLDER",
                description = "folder for openapi.json and asyncapi.json; by default both are printed")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            Collection<JobRule> rules = rules(settings).values();
            try {
                if (folder != null) {
                    export(settings, folder);
                    return 0;
                }
            } catch (ConfigException e) {
                throw new ParameterException(spec.commandLine(), settings + ": " + e.getMessage());
            }
            ObjectNode both = JsonNodeFactory.instance.objectNode();
            both.set("openapi", Export.openApi(rules));
            both.set("asyncapi", Export.asyncApi(rules));
            return print(both);
        }
    }

    @Command(
            name = "match",
            description = {
                "Validates a request against a description; exit status 0 if it is accepted, 1 if it is rejected.",
                "For AsyncAPI, give MESSAGE as the method and the queue as the path; headers"
                        + " are then fields of the message's header object."
            })
    static final class MatchCommand extends SettingsSubcommand {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Parameters(index = "1", paramLabel = "METHOD")
        private String method;

        @Parameters(index = "2", paramLabel = "PATH")
        private String target;

        @Option(names = "-H", paramLabel = "'Name: value'", description = "a header; may be repeated")
        private List<String> headers = List.of();

        @Option(names = "--body", paramLabel = "FILE", description = "the request body, or the message")
        private Path body;

        @Override
        public Integer call() throws IOException {
            Contract contract = contract(file, rules(settings));
            if (contract == null) {
                return 1;
            }
            byte[] bytes = body == null ? new byte[0] : Files.readAllBytes(body);
            Verdict verdict = contract.kind() == Contract.Kind.OPENAPI
                    ? Door.decide(contract, asCall(bytes), MAX_BODY_BYTES)
                    : decideMessage(contract, bytes);
            Problem problem = verdict.problem();
            if (format == Format.json) {
                ObjectNode json = JsonNodeFactory.instance.objectNode().put("letIn", verdict.letIn());
                if (verdict.operation() != null) {
                    json.set("operation", toJson(verdict.operation()));
                }
                json.put("key", verdict.key());
                if (problem != null) {
                    json.putObject("problem")
                            .put("status", problem.status())
                            .put("title", problem.title())
                            .put("detail", problem.detail())
                            .put("pointer", problem.pointer());
                }
                print(json);
            } else {
                out().println(problem == null ? "let in" : "turned away, " + problem.status() + " " + problem.line());
                if (verdict.operation() != null) {
                    out().print(text(verdict.operation()));
                }
                if (verdict.key() != null) {
                    out().println("    job key   " + verdict.key());
                }
                out().flush();
            }
            return verdict.letIn() ? 0 : 1;
        }

        private Map<String, String> headerFields() {
            Map<String, String> fields = new HashMap<>();
            for (String header : headers) {
                int colon = header.indexOf(':');
                if (colon < 1) {
                    throw new ParameterException(spec.commandLine(), "-H '" + header + "' is not 'Name: value'");
                }
                String name = header.substring(0, colon).strip();
                name = method.equals("MESSAGE") ? name : name.toLowerCase(Locale.ROOT);
                if (fields.put(name, header.substring(colon + 1).strip()) != null) {
                    throw new ParameterException(spec.commandLine(), "header " + name + " is given twice");
                }
            }
            return fields;
        }

        private Verdict decideMessage(Contract contract, byte[] bytes) {
            ObjectNode header = JsonNodeFactory.instance.objectNode();
            headerFields().forEach(header::put);
            try {
                return Door.decide(contract, target, null, header, gorserill.contract.schema.Check.parse(bytes));
            } catch (gorserill.contract.schema.Check.Unreadable e) {
                throw new ParameterException(spec.commandLine(), "the message " + e.getMessage());
            }
        }

        private Call asCall(byte[] bytes) {
            Map<String, String> fields = headerFields();
            int queryStart = target.indexOf('?');
            return new Call() {
                @Override
                public String method() {
                    return method;
                }

                @Override
                public String path() {
                    return queryStart < 0 ? target : target.substring(0, queryStart);
                }

                @Override
                public String query() {
                    return queryStart < 0 ? null : target.substring(queryStart + 1);
                }

                @Override
                public String header(String name) {
                    return fields.get(name);
                }

                @Override
                public byte[] body() {
                    return bytes;
                }
            };
        }
    }
}
