package gorserill.program;

import gorserill.program.command.ContractCommand;
import gorserill.program.command.GorserillCommand;
import gorserill.program.command.GorserillCommand.ExternalCommand;
import gorserill.program.demo.Demo;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The program's entry point: {@code serve} runs a node, {@code adapter} connects the dispatcher to the simulator's
 * protocol, {@code rehearse} runs a node's start for the build; {@link GorserillCommand} parses all other commands.
 */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());

    private Main() {}

    /**
     * Exits with status 0 on success, 1 on a fault, 2 on an invalid command line or configuration. Commands without
     * arguments, which deployments use, bypass the command line parser: loading it takes a tenth of a node's start
     * time.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> System.exit(serve());
            case "rehearse" -> System.exit(rehearse());
            case "adapter" -> System.exit(adapter());
            default ->
                System.exit(GorserillCommand.execute(
                        args,
                        new ExternalCommand(
                                "serve",
                                "Runs a node with the configuration file that NODE_CONFIG names.",
                                Main::serve),
                        new ExternalCommand(
                                "demo",
                                "Runs a node with workers on this machine and shows the progress of jobs.",
                                Main::demo),
                        new ExternalCommand(
                                "adapter", "Runs the dispatcher on the simulator's protocol.", Main::adapter),
                        new ExternalCommand(
                                "rehearse", "Runs a node's start to record the class archive.", Main::rehearse)));
        }
    }

    private static int adapter() throws IOException {
        barrowflow.adapter.AdapterMain.main(new String[] {"adapter"});
        return 0;
    }

    private static int demo() throws Exception {
        Logging.setUp("WARNING");
        Demo.run(
                System.out,
                environment -> {
                    NodeConfig config = NodeConfig.read(environment);
                    Node node = new Node(config, environment);
                    node.prepare();
                    WarmUp.run(node.settings());
                    node.open();
                    node.awaitReady();
                    return node::stop;
                },
                ContractCommand::export,
                Main::untilInterrupted);
        return 0;
    }

    /** Blocks until Ctrl-C ends the JVM; no cleanup is needed. */
    private static void untilInterrupted() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int rehearse() throws IOException, InterruptedException {
        Logging.setUp();
        try {
            String answer = Rehearsal.run();
            LOG.log(Level.INFO, "rehearsed: {0}", answer);
            return answer.contains(" 503 ") ? 0 : 1;
        } catch (ConfigException e) {
            LOG.log(Level.SEVERE, "configuration: {0}", e.getMessage());
            return 2;
        }
    }

    private static int serve() throws InterruptedException {
        Logging.setUp();
        // Without a handler, SIGHUP terminates the JVM, and it may arrive before there is a node to reload. The signal
        // is handled, not ignored (SIG_IGN), because the JVM accepts no other handler after that.
        SignalHandler previousHandler = Signal.handle(
                new Signal("HUP"),
                signal -> LOG.info("SIGHUP received before the start; there is no configuration to reload"));
        ConfigWatch watch = null;
        if (previousHandler == SignalHandler.SIG_IGN) {
            // If the parent process ignored SIGHUP (nohup), the JVM keeps ignoring it and accepts no handler.
            LOG.warning("SIGHUP was ignored when this process was started, and stays so: the file that "
                    + "NODE_CONFIG names is read again whenever it changes");
            watch = new ConfigWatch(Path.of(System.getenv().getOrDefault("NODE_CONFIG", "")));
        }
        Node node;
        try {
            NodeConfig config = NodeConfig.read(System.getenv());
            node = new Node(config, System.getenv());
        } catch (ConfigException e) {
            LOG.log(Level.SEVERE, "configuration: {0}", e.getMessage());
            return 2;
        }
        Signal.handle(new Signal("TERM"), signal -> node.drain());
        Signal.handle(new Signal("INT"), signal -> node.drain());
        Signal.handle(new Signal("HUP"), signal -> node.reload());
        if (watch != null) {
            watch.start(node::reload);
        }
        try {
            // Requests the worker list first, so that it arrives during the warm-up.
            node.prepare();
            WarmUp.run(node.settings());
            node.open();
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "the node can''t start: {0}", e.getMessage());
            return 1;
        }
        node.awaitEnd();
        return 0;
    }
}
