package gorserill.program.command;

import gorserill.program.soak.Fault;
import gorserill.program.soak.Plant;
import gorserill.program.soak.SoakPlan;
import gorserill.program.soak.SoakResult;
import gorserill.program.soak.SoakRun;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The {@code drill soak} subcommand: runs of node processes under injected faults. Exit status: 0 every invariant
 * held, 1 one was violated, 2 wrong arguments.
 */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Starts nodes, workers, discovery and clients on this machine, injects faults that are "
                + "derived from a seed, and checks invariants from outside the nodes.")
final class SoakCommand implements Callable<Integer> {
    private static final int MAX_NODES = 20;
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_SEEDS = 10_000;
    private static final int MAX_WORKERS = 64;
    private static final int MAX_CLIENTS = 64;
    private static final int MAX_VIOLATION_LINES = 5;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the random number generator; default ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--seeds", description = "a range of seeds such as 1-50, run one after another, instead of --seed")
    private String seeds;

    @Option(
            names = "--seconds",
            defaultValue = "40",
            description = "seconds under faults per run, 1 to 3600; default ${DEFAULT-VALUE}")
    private int seconds;

    @Option(names = "--nodes", defaultValue = "1", description = "number of nodes, 1 to 20; default ${DEFAULT-VALUE}")
    private int nodes;

    @Option(
            names = "--workers",
            defaultValue = "6",
            description = "number of workers, 4 to 64; default ${DEFAULT-VALUE}")
    private int workers;

    @Option(
            names = "--clients",
            defaultValue = "8",
            description = "clients per node, 1 to 64; default ${DEFAULT-VALUE}")
    private int clients;

    @Option(
            names = "--faults",
            split = ",",
            description = "comma-separated list of ${COMPLETION-CANDIDATES}, or none; default all")
    private List<String> faults;

    @Option(
            names = "--plant",
            defaultValue = "none",
            description = "a violation injected to verify that the checks detect it")
    private String plant;

    @Option(names = "--report", description = "folder for configurations and logs; default a new temporary one")
    private Path report;

    @Override
    public Integer call() throws IOException, InterruptedException {
        requireInRange("--seconds", seconds, 1, MAX_SECONDS);
        requireInRange("--nodes", nodes, 1, MAX_NODES);
        requireInRange("--workers", workers, 4, MAX_WORKERS);
        requireInRange("--clients", clients, 1, MAX_CLIENTS);
        Path folder = report != null ? report : Files.createTempDirectory("gorserill-soak");
        long[] range = seedRange();
        int violatedRuns = 0;
        for (long runSeed = range[0]; runSeed <= range[1]; runSeed++) {
            SoakPlan plan = new SoakPlan(
                    runSeed,
                    seconds,
                    nodes,
                    workers,
                    clients,
                    faultKinds(),
                    parseEnum(Plant.class, "--plant", plant),
                    Files.createDirectories(folder.resolve("seed-" + runSeed)));
            violatedRuns += execute(plan, System.out) ? 0 : 1;
        }
        System.out.println("soak: " + (range[1] - range[0] + 1) + " runs, " + violatedRuns
                + " with a violated invariant; " + folder);
        return violatedRuns == 0 ? 0 : 1;
    }

    private static boolean execute(SoakPlan plan, PrintStream out) throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(plan)) {
            SoakResult result = run.run();
            out.println("seed " + plan.seed() + ": " + (result.held() ? "held" : "broken " + result.counts()) + "; "
                    + result.summary());
            result.broken().stream().limit(MAX_VIOLATION_LINES).forEach(line -> out.println("  " + line));
            result.timeline().forEach(line -> out.println("    " + line));
            return result.held();
        }
    }

    private Set<Fault> faultKinds() {
        Set<Fault> kinds = EnumSet.noneOf(Fault.class);
        if (faults == null) {
            return EnumSet.allOf(Fault.class);
        } else if (!faults.equals(List.of("none"))) {
            faults.forEach(fault -> kinds.add(parseEnum(Fault.class, "--faults", fault)));
        }
        return kinds;
    }

    private long[] seedRange() {
        if (seeds == null) {
            return new long[] {seed, seed};
        }
        if (!seeds.matches("\\d{1,9}-\\d{1,9}")) {
            throw invalid("--seeds '" + seeds + "' is not a range such as 1-50");
        }
        long first = Long.parseLong(seeds.split("-")[0]);
        long last = Long.parseLong(seeds.split("-")[1]);
        if (last < first || last - first >= MAX_SEEDS) {
            throw invalid("--seeds '" + seeds + "' is empty or has more than " + MAX_SEEDS + " seeds");
        }
        return new long[] {first, last};
    }

    private void requireInRange(String option, int value, int min, int max) {
        if (value < min || value > max) {
            throw invalid(option + " " + value + " is not from " + min + " to " + max);
        }
    }

    private <E extends Enum<E>> E parseEnum(Class<E> type, String option, String name) {
        try {
            return Enum.valueOf(type, name.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw invalid(option + " '" + name + "' is not one of "
                    + EnumSet.allOf(type).toString().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
    }

    private ParameterException invalid(String message) {
        return new ParameterException(spec.commandLine(), message);
    }
}
