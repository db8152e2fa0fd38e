package gorserill.program.command;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command. Exit status: 0 success, 1 failure, 2 invalid command line or configuration. */
@Command(
        name = "gorserill",
        mixinStandardHelpOptions = true,
        version = "gorserill 0.1.0",
        description = "Dispatches jobs to workers and translates between HTTP and the Faktory protocol.",
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
        throw new ParameterException(spec.commandLine(), "no command given");
    }

    /** A command without options or parameters that runs the given action. */
    @Command(mixinStandardHelpOptions = true)
    private record DelegatingCommand(Callable<Integer> action) implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return action.call();
        }
    }

    /** A command implemented outside this package: its name, the description in the help text, and its action. */
    public record ExternalCommand(String name, String description, Callable<Integer> action) {}

    /** Executes a command line and returns the exit status. */
    public static int execute(String[] args, ExternalCommand... externalCommands) {
        CommandLine commandLine = new CommandLine(new GorserillCommand());
        for (ExternalCommand external : externalCommands) {
            CommandLine subcommand = new CommandLine(new DelegatingCommand(external.action));
            subcommand.getCommandSpec().usageMessage().description(external.description);
            commandLine.addSubcommand(external.name, subcommand);
        }
        return commandLine.execute(args);
    }
}
