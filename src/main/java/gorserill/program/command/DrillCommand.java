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
 * Drills of several processes on this machine. Exit status: 0 nothing violated, 1 violated, 2 wrong
 * arguments.
 */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Starts several nodes on this machine, puts faults between them, and checks the rules.",
        subcommands = SoakCommand.class)
final class DrillCommand implements Callable<Integer> {
    private static final Set<String> PIECES =
            Set.of("owner", "standing", "address", "budgets", "storm", "lab", "explore");

    /** Nodes that the lab is asked for at the most. */
    private static final int LAB_NODES = 300;

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "PIECE",
            arity = "0..1",
            description = "what is drilled: owner (faults of links and stalls), "
                    + "standing (with kills and restarts), address (the service address, by a proxy), "
                    + "budgets (the fleet's budget of jobs), storm (workers that fail, and attempts again), "
                    + "lab (the same "
                    + "members in virtual time), or explore (every run of them with a slip or two)")
    private String piece;

    @Option(names = "--nodes", defaultValue = "3", description = "how many, 1 to 9; 3 if not said")
    private int nodes;

    @Option(names = "--seconds", defaultValue = "60", description = "how long, 10 to 3600; 60 if not said")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "of the faults and their times; 1 if not said")
    private long seed;

    @Option(names = "--seeds", description = "many drills instead, as 1-200: a line each, and their sum")
    private String seeds;

    @Option(names = "--beside", defaultValue = "4", description = "how many of them at a time; 4 if not said")
    private int beside;

    @Option(
            names = "--steps",
            defaultValue = "100",
            description = "of explore: steps that may slip; 100 if " + "not said")
    private int steps;

    @Option(
            names = "--scene",
            defaultValue = "quiet",
            description = "of explore: what goes on meanwhile, quiet, " + "leave or replace; quiet if not said")
    private String scene;

    @Option(
            names = "--depth",
            defaultValue = "2",
            description = "of explore: slips in a run, 1 or 2; 2 if not " + "said")
    private int depth;

    @Option(
            names = "--faults",
            split = ",",
            description = "some of loss, delay, twice, cut, one-way, link, "
                    + "flap, stall, kill, restart-all, leave, lose-voter, disk, clock, misroute, sick, or none; "
                    + "all that belong to the piece if not said")
    private List<String> faults;

    @Option(
            names = "--plant",
            defaultValue = "",
            description = "a fault in the nodes' own rules, which the "
                    + "drill must find: lease-without-margin, claim-skipped, owner-that-does-not-check, epoch-not-kept")
    private String plant;

    @Option(names = "--json", description = "of lab: the traffic of nodes as JSON")
    private boolean json;

    @Option(names = "--report", description = "a folder for the report and the nodes' files; a new one if not said")
    private Path report;

    @Override
    public Integer call() throws Exception {
        if (piece == null) {
            throw wrong("PIECE is missing, one of " + PIECES + " or soak");
        }
        long[] range = range();
        if (piece.equals("explore")) {
            return explore() ? 0 : 1;
        } else if (piece.equals("lab")) {
            return lab(range) ? 0 : 1;
        } else if (!PIECES.contains(piece)) {
            throw wrong("PIECE '" + piece + "' is none of " + PIECES);
        } else if (nodes < 1 || nodes > 9) {
            throw wrong("--nodes " + nodes + " is not from 1 to 9");
        } else if (seconds < 10 || seconds > 3_600) {
            throw wrong("--seconds " + seconds + " is not from 10 to 3600");
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
                kinds.add(named(Drill.Fault.class, "--faults", fault));
            }
        }
        String planted = plant.isEmpty()
                ? ""
                : named(Member.InjectedFault.class, "--plant", plant).name();
        Path folder = report != null ? report : Files.createTempDirectory("gorserill-drill");
        PrintStream out = new PrintStream(System.out, true);
        Drill.Plan plan = new Drill.Plan(piece, nodes, seconds, seed, kinds, planted, folder);
        return (seeds == null ? Drill.run(plan, out) : Series.run(plan, range[0], range[1], beside, out)) ? 0 : 1;
    }

    /** The first and the last seed. */
    private long[] range() {
        if (seeds == null) {
            return new long[] {seed, seed};
        } else if (!seeds.matches("\\d{1,9}-\\d{1,9}") || beside < 1 || beside > 64) {
            throw wrong("--seeds '" + seeds + "' is not as 1-200, or --beside " + beside + " is not from 1 to 64");
        }
        long first = Long.parseLong(seeds.split("-")[0]);
        long last = Long.parseLong(seeds.split("-")[1]);
        if (last < first || last - first >= 100_000) {
            throw wrong("--seeds '" + seeds + "' does not rise, or is of more than 100000");
        }
        return new long[] {first, last};
    }

    private boolean explore() {
        if (steps < 1 || steps > 2_000 || depth < 1 || depth > 2) {
            throw wrong("--steps " + steps + " is not from 1 to 2000, or --depth " + depth + " not 1 or 2");
        }
        Set<Member.InjectedFault> plants = EnumSet.noneOf(Member.InjectedFault.class);
        if (!plant.isEmpty()) {
            plants.add(named(Member.InjectedFault.class, "--plant", plant));
        }
        FaultExplorer.Result found = FaultExplorer.run(
                seed, named(ClusterSimulation.Scenario.class, "--scene", scene), 0, steps, depth, plants);
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

    /** The members in virtual time: quicker by a hundred times, and the same from the same seed. */
    private boolean lab(long[] range) {
        if (nodes < 1 || nodes > LAB_NODES || seconds < 10 || seconds > 600) {
            throw wrong("--nodes is from 1 to " + LAB_NODES + " there, --seconds from 10 to 600");
        }
        Set<ClusterSimulation.Fault> kinds = EnumSet.noneOf(ClusterSimulation.Fault.class);
        if (faults == null) {
            kinds.addAll(EnumSet.allOf(ClusterSimulation.Fault.class));
        } else {
            faults.forEach(fault -> kinds.add(named(ClusterSimulation.Fault.class, "--faults", fault)));
        }
        Set<Member.InjectedFault> plants = EnumSet.noneOf(Member.InjectedFault.class);
        if (!plant.isEmpty()) {
            plants.add(named(Member.InjectedFault.class, "--plant", plant));
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

    private <E extends Enum<E>> E named(Class<E> of, String option, String name) {
        try {
            return Enum.valueOf(of, name.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw wrong(option + " '" + name + "' is none of "
                    + EnumSet.allOf(of).toString().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
    }

    private ParameterException wrong(String what) {
        return new ParameterException(spec.commandLine(), what);
    }
}
