package gorserill.program.command;

import gorserill.program.scale.Dimension;
import gorserill.program.scale.Plant;
import gorserill.program.scale.ScaleException;
import gorserill.program.scale.ScalePlan;
import gorserill.program.scale.Sweep;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The {@code scale} subcommand: scale tests on this machine. Exit status: 0 all invariants held, 1 one was
 * violated or the run was aborted, 2 wrong arguments or a plan that exceeds the resources of this machine.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Runs nodes with many hollow workers "
                + "on this machine, measures their resource use, and checks invariants during the run.")
final class ScaleCommand implements Callable<Integer> {
    private static final int MAX_REPEATS = 20;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--along",
            defaultValue = "workers",
            description = "the dimension that is varied: workers, "
                    + "nodes, hollow-nodes, tenants or churn; default workers")
    private String along;

    @Option(
            names = "--values",
            split = ",",
            description = "values of that dimension, such as 10,100,1000; by default one, taken from the options below")
    private List<Integer> values;

    @Option(names = "--repeat", defaultValue = "1", description = "runs per value, 1 to 20; default 1")
    private int repeat;

    @Option(names = "--workers", defaultValue = "100", description = "hollow workers, 1 to 10000; default 100")
    private int workers;

    @Option(names = "--nodes", defaultValue = "1", description = "node processes, 1 to 40; default 1")
    private int nodes;

    @Option(
            names = "--hollow-nodes",
            defaultValue = "0",
            description = "cluster members without listeners "
                    + "and jobs, 0 to 300, in addition to 1, 3 or 5 voting nodes; default 0, without a cluster")
    private int hollowNodes;

    @Option(names = "--tenants", defaultValue = "0", description = "tenants in the settings, 0 to 1000; default 0")
    private int tenants;

    @Option(
            names = "--churn",
            defaultValue = "0",
            description = "workers per second that drain or crash and restart cold, 0 to 50; default 0")
    private int churn;

    @Option(
            names = "--rate",
            defaultValue = "200",
            description = "jobs per second at each node, 1 to 1000; default 200")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "8",
            description = "seconds per measurement, first idle and then under load, 1 to 120; default 8")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the random number generator; default 1")
    private long seed;

    @Option(
            names = "--plant",
            defaultValue = "none",
            description = "a fault injected to verify that a check detects it: "
                    + "run-twice, drain-untold, answer-lost, answer-twice, foreign-result")
    private String plant;

    @Option(
            names = "--deployment",
            defaultValue = "deploy/balancer.toml",
            description = "the file whose line run holds the nodes' JVM options; default deploy/balancer.toml")
    private Path deployment;

    @Option(names = "--report", description = "folder for results and logs; default a new temporary one")
    private Path report;

    @Override
    public Integer call() throws Exception {
        if (repeat < 1 || repeat > MAX_REPEATS) {
            throw invalid("--repeat " + repeat + " is not from 1 to " + MAX_REPEATS);
        }
        Dimension dimension = parseEnum(Dimension.class, "--along", along);
        ScalePlan plan = new ScalePlan(
                workers,
                nodes,
                hollowNodes,
                tenants,
                churn,
                rate,
                seconds,
                seed,
                parseEnum(Plant.class, "--plant", plant));
        Path folder = report != null ? report : Files.createTempDirectory("gorserill-scale");
        Sweep.Order order = new Sweep.Order(
                plan,
                dimension,
                values != null ? values : List.of((int) dimension.of(plan)),
                repeat,
                commandWithoutReport(),
                deployment,
                folder);
        String fault = order.fault();
        if (fault != null) {
            throw invalid(fault);
        }
        PrintStream out = new PrintStream(System.out, true);
        out.println("scale: writing results to " + folder);
        try {
            return Sweep.run(order, out).held() ? 0 : 1;
        } catch (ScaleException e) {
            out.println("scale: aborted, results are partial: " + e.getMessage());
            return 1;
        }
    }

    /** Returns the command line as given, without the {@code --report} option. */
    private String commandWithoutReport() {
        List<String> arguments =
                new ArrayList<>(spec.commandLine().getParseResult().originalArgs());
        int index = arguments.indexOf("--report");
        if (index >= 0) {
            arguments.subList(index, index + 2).clear();
        }
        return String.join(" ", arguments);
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
