package gorserill.program.command;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line as a whole. Exit status: 0 well, 1 a fault, 2 a wrong command line or configuration. */
@Command(
        name = "gorserill",
        mixinStandardHelpOptions = true,
        version = "gorserill 0.1.0",
        description = "Dispatches jobs to workers, and translates between protocols.",
        subcommands = {
            ContractCommand.class,
            ClusterCommand.class,
            DrillCommand.class,
            ScaleCommand.class,
            HelpCommand.class
        })
public final class GorserillCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** A command that is carried out elsewhere and takes nothing. */
    @Command(mixinStandardHelpOptions = true)
    private record DelegatingCommand(Callable<Integer> action) implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return action.call();
        }
    }

    /** A command that the program brings, by its name and in a few words. */
    public record ExternalCommand(String name, String description, Callable<Integer> action) {}

    /** Carries out a command line; gives the exit status. */
    public static int execute(String[] args, ExternalCommand... brought) {
        CommandLine line = new CommandLine(new GorserillCommand());
        for (ExternalCommand one : brought) {
            CommandLine plain = new CommandLine(new DelegatingCommand(one.action));
            plain.getCommandSpec().usageMessage().description(one.description);
            line.addSubcommand(one.name, plain);
        }
        return line.execute(args);
    }
}
