package gorserill.program.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorserill.cluster.lab.ClusterSimulation;
import gorserill.cluster.lab.FaultExplorer;
import gorserill.cluster.lab.Traffic;
import gorserill.cluster.member.Member;
import gorserill.program.drill.Drill;
import gorserill.program.drill.Series;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code drill} subcommand: fault-injection runs of several nodes on this machine, as processes or in
 * simulation. Exit status: 0 every invariant held, 1 one was violated, 2 wrong arguments.
 */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Starts several nodes on this machine, injects faults, and checks the cluster's invariants.",
        subcommands = SoakCommand.class)
final class DrillCommand implements Callable<Integer> {
    private static final Set<String> PIECES =
            Set.of("owner", "standing", "address", "budgets", "storm", "lab", "explore");

    private static final int MAX_LAB_NODES = 300;

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "PIECE",
            arity = "0..1",
            description = "what is tested: owner (ownership under link faults and stalls), "
                    + "standing (standing jobs under kills and restarts), address (the service address, "
                    + "through a proxy), budgets (cluster-wide job budgets), storm (failing workers and retries), "
                    + "lab (members simulated in virtual time), or explore (a systematic search over simulated "
                    + "runs with one or two deviations)")
    private String piece;

    @Option(names = "--nodes", defaultValue = "3", description = "number of nodes, 1 to 9; default 3")
    private int nodes;

    @Option(names = "--seconds", defaultValue = "60", description = "duration in seconds, 10 to 3600; default 60")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "seed for the faults and their times; default 1")
    private long seed;

    @Option(names = "--seeds", description = "run a range of seeds such as 1-200; prints a line per run and a summary")
    private String seeds;

    @Option(names = "--beside", defaultValue = "4", description = "with --seeds, runs in parallel; default 4")
    private int beside;

    @Option(
            names = "--steps",
            defaultValue = "100",
            description = "for explore: steps at which a deviation may occur; default 100")
    private int steps;

    @Option(
            names = "--scene",
            defaultValue = "quiet",
            description = "for explore: the operation in progress, quiet, leave or replace; default quiet")
    private String scene;

    @Option(names = "--depth", defaultValue = "2", description = "for explore: deviations per run, 1 or 2; default 2")
    private int depth;

    @Option(
            names = "--faults",
            split = ",",
            description = "comma-separated list of loss, delay, twice, cut, one-way, link, "
                    + "flap, stall, kill, restart-all, leave, lose-voter, disk, clock, misroute, sick, or none; "
                    + "default all that apply to PIECE")
    private List<String> faults;

    @Option(
            names = "--plant",
            defaultValue = "",
            description = "a defect injected into the nodes, which the drill must detect: "
                    + "lease-without-margin, claim-skipped, owner-that-does-not-check, epoch-not-kept")
    private String plant;

    @Option(names = "--json", description = "for lab: print the traffic of nodes as JSON")
    private boolean json;

    @Option(names = "--report", description = "folder for the report and the nodes' files; default a new temporary one")
    private Path report;

    @Override
    public Integer call() throws Exception {
        if (piece == null) {
            throw invalid("PIECE is missing, one of " + PIECES + " or soak");
        }
        long[] range = seedRange();
        if (piece.equals("explore")) {
            return explore() ? 0 : 1;
        } else if (piece.equals("lab")) {
            return lab(range) ? 0 : 1;
        } else if (!PIECES.contains(piece)) {
            throw invalid("PIECE '" + piece + "' is not one of " + PIECES);
        } else if (nodes < 1 || nodes > 9) {
            throw invalid("--nodes " + nodes + " is not from 1 to 9");
        } else if (seconds < 10 || seconds > 3_600) {
            throw invalid("--seconds " + seconds + " is not from 10 to 3600");
        }
        Set<Drill.Fault> kinds = EnumSet.noneOf(Drill.Fault.class);
        if (faults == null) {
            kinds.addAll(EnumSet.allOf(Drill.Fault.class));
            if (!piece.equals("storm")) {
                kinds.remove(Drill.Fault.SICK);
            }
            if (piece.equals("owner")) {
                kinds.removeAll(Set.of(
                        Drill.Fault.KILL,
                        Drill.Fault.RESTART_ALL,
                        Drill.Fault.LEAVE,
                        Drill.Fault.LOSE_VOTER,
                        Drill.Fault.DISK,
                        Drill.Fault.CLOCK));
            }
        } else if (!faults.equals(List.of("none"))) {
            for (String fault : faults) {
                kinds.add(parseEnum(Drill.Fault.class, "--faults", fault));
            }
        }
        String plantName = plant.isEmpty()
                ? ""
                : parseEnum(Member.InjectedFault.class, "--plant", plant).name();
        Path folder = report != null ? report : Files.createTempDirectory("gorserill-drill");
        PrintStream out = new PrintStream(System.out, true);
        Drill.Plan plan = new Drill.Plan(piece, nodes, seconds, seed, kinds, plantName, folder);
        return (seeds == null ? Drill.run(plan, out) : Series.run(plan, range[0], range[1], beside, out)) ? 0 : 1;
    }

    /** Returns the first and the last seed. */
    private long[] seedRange() {
        if (seeds == null) {
            return new long[] {seed, seed};
        } else if (!seeds.matches("\\d{1,9}-\\d{1,9}") || beside < 1 || beside > 64) {
            throw invalid("--seeds '" + seeds + "' is not a range such as 1-200, or --beside " + beside
                    + " is not from 1 to 64");
        }
        long first = Long.parseLong(seeds.split("-")[0]);
        long last = Long.parseLong(seeds.split("-")[1]);
        if (last < first || last - first >= 100_000) {
            throw invalid("--seeds '" + seeds + "' is empty or has more than 100000 seeds");
        }
        return new long[] {first, last};
    }

    private boolean explore() {
        if (steps < 1 || steps > 2_000 || depth < 1 || depth > 2) {
            throw invalid("--steps " + steps + " is not from 1 to 2000, or --depth " + depth + " is not 1 or 2");
        }
        Set<Member.InjectedFault> plants = EnumSet.noneOf(Member.InjectedFault.class);
        if (!plant.isEmpty()) {
            plants.add(parseEnum(Member.InjectedFault.class, "--plant", plant));
        }
        FaultExplorer.Result found = FaultExplorer.run(
                seed, parseEnum(ClusterSimulation.Scenario.class, "--scene", scene), 0, steps, depth, plants);
        if (found.violatingFaults() != null) {
            System.out.println(found.violatingFaults() + "\n  "
                    + String.join("\n  ", found.outcome().history()));
        }
        System.out.println("drill explore seed " + seed + ": "
                + (found.violatingFaults() == null
                        ? "ok"
                        : "violated: " + found.outcome().violation()) + " (" + found.runs() + " runs, "
                + found.distinct()
                + " of them distinct, " + found.actsRun() + " acts)");
        return found.violatingFaults() == null;
    }

    /** Simulates the members in virtual time, which is about 100 times as fast and deterministic for a seed. */
    private boolean lab(long[] range) {
        if (nodes < 1 || nodes > MAX_LAB_NODES || seconds < 10 || seconds > 600) {
            throw invalid("for lab, --nodes must be from 1 to " + MAX_LAB_NODES + " and --seconds from 10 to 600");
        }
        Set<ClusterSimulation.Fault> kinds = EnumSet.noneOf(ClusterSimulation.Fault.class);
        if (faults == null) {
            kinds.addAll(EnumSet.allOf(ClusterSimulation.Fault.class));
        } else {
            faults.forEach(fault -> kinds.add(parseEnum(ClusterSimulation.Fault.class, "--faults", fault)));
        }
        Set<Member.InjectedFault> plants = EnumSet.noneOf(Member.InjectedFault.class);
        if (!plant.isEmpty()) {
            plants.add(parseEnum(Member.InjectedFault.class, "--plant", plant));
        }
        PrintStream out = System.out;
        ClusterSimulation.RunSummary sum = new ClusterSimulation.RunSummary();
        LongStream.rangeClosed(range[0], range[1]).parallel().forEach(s -> {
            ClusterSimulation.Outcome outcome = ClusterSimulation.run(new ClusterSimulation.Plan(
                    nodes, nodes >= 5 && nodes % 2 == 1 ? 5 : Math.min(3, nodes), seconds, s, kinds, plants));
            if (sum.add(outcome)) {
                out.println("drill lab seed " + s + ": violated: " + outcome.violation() + "\n  "
                        + String.join("\n  ", outcome.history()));
            }
        });
        out.println("drill lab seeds " + range[0] + " to " + range[1] + ": " + sum.text());
        out.println(json ? new ObjectMapper().valueToTree(sum.traffic()).toString() : Traffic.text(sum.traffic()));
        return sum.violated() == 0;
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
