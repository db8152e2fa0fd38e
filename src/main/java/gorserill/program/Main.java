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
 * Where the program begins: {@code serve} runs a node, {@code adapter} its decisions on the simulator's wire,
 * {@code rehearse} a node's start for the build; all else is the command line's ({@link GorserillCommand}).
 */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());

    private Main() {}

    /**
     * Exit status 0 at the end, 1 on a fault, 2 on a wrong command line or configuration. Danger: the parser
     * of the command line costs as much to load as a tenth of a node's start, so what the deployment starts,
     * a command alone, goes past it.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> System.exit(serve());
            case "rehearse" -> System.exit(rehearse());
            case "adapter" -> System.exit(adapter());
            default ->
                System.exit(GorserillCommand.execute(
                        args,
                        new ExternalCommand("serve", "Runs a node, as NODE_CONFIG says.", Main::serve),
                        new ExternalCommand(
                                "demo",
                                "Runs a node with workers on this machine, and shows what becomes of jobs.",
                                Main::demo),
                        new ExternalCommand("adapter", "Runs the decisions on the simulator's wire.", Main::adapter),
                        new ExternalCommand(
                                "rehearse", "Runs a node's start, for the archive of classes.", Main::rehearse)));
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

    /** Ctrl-C ends the JVM; nothing here needs to be told before. */
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
        // Danger: left alone, SIGHUP ends the JVM, and it may come before there is anything to reload.
        // Ignored (SIG_IGN) it would stay so: the JVM then takes no other handler.
        SignalHandler before =
                Signal.handle(new Signal("HUP"), signal -> LOG.info("SIGHUP before the start: nothing to reload"));
        ConfigWatch watch = null;
        if (before == SignalHandler.SIG_IGN) {
            // The JVM leaves it ignored where whoever starts it does (nohup): nothing here can change that.
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
            // The list is asked for first, and comes while the program warms up.
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
