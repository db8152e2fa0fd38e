package gorserill.program.command;

import gorserill.cluster.member.Member;
import gorserill.program.drill.Drill;
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
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Drills of several processes on this machine. Exit status: 0 nothing violated, 1 violated, 2 wrong
 * arguments.
 */
@Command(name = "drill", mixinStandardHelpOptions = true,
    description = "Starts several nodes on this machine, puts faults between them, and checks the rules.")
final class DrillCommand implements Callable<Integer> {
    private static final Set<String> PIECES = Set.of("owner", "standing");

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "PIECE", description = "what is drilled: owner (faults of links and stalls) or "
        + "standing (with kills and restarts)")
    private String piece;

    @Option(names = "--nodes", defaultValue = "3", description = "how many, 1 to 9; 3 if not said")
    private int nodes;

    @Option(names = "--seconds", defaultValue = "60", description = "how long, 10 to 3600; 60 if not said")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description =
        "of the faults and their times; 1 if not said")
    private long seed;

    @Option(names = "--faults", split = ",", description = "some of loss, delay, twice, cut, one-way, flap, "
        + "stall, kill, restart-all, leave, or none; all that belong to the piece if not said")
    private List<String> faults;

    @Option(names = "--plant", defaultValue = "", description = "a fault in the nodes' own rules, which the "
        + "drill must find: lease-without-margin, claim-skipped, owner-that-does-not-check, epoch-not-kept")
    private String plant;

    @Option(names = "--report",
        description = "a folder for the report and the nodes' files; a new one if not said")
    private Path report;

    @Override
    public Integer call() throws Exception {
        if (!PIECES.contains(piece)) {
            throw wrong("PIECE '" + piece + "' is none of " + PIECES);
        } else if (nodes < 1 || nodes > 9) {
            throw wrong("--nodes " + nodes + " is not from 1 to 9");
        } else if (seconds < 10 || seconds > 3_600) {
            throw wrong("--seconds " + seconds + " is not from 10 to 3600");
        }
        Set<Drill.Fault> kinds = EnumSet.noneOf(Drill.Fault.class);
        if (faults == null) {
            kinds.addAll(EnumSet.allOf(Drill.Fault.class));
            if (piece.equals("owner")) {
                kinds.removeAll(Set.of(Drill.Fault.KILL, Drill.Fault.RESTART_ALL, Drill.Fault.LEAVE));
            }
        } else if (!faults.equals(List.of("none"))) {
            for (String fault : faults) {
                kinds.add(named(Drill.Fault.class, "--faults", fault));
            }
        }
        String planted = plant.isEmpty() ? "" : named(Member.Plant.class, "--plant", plant).name();
        Path folder = report != null ? report : Files.createTempDirectory("gorserill-drill");
        PrintStream out = new PrintStream(System.out, true);
        return Drill.run(new Drill.Plan(piece, nodes, seconds, seed, kinds, planted, folder), out) ? 0 : 1;
    }

    private <E extends Enum<E>> E named(Class<E> of, String option, String name) {
        try {
            return Enum.valueOf(of, name.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw wrong(option + " '" + name + "' is none of " + EnumSet.allOf(of).toString()
                .toLowerCase(Locale.ROOT).replace('_', '-'));
        }
    }

    private ParameterException wrong(String what) {
        return new ParameterException(spec.commandLine(), what);
    }
}
