package gorserill.program.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Points along one dimension, each as often as asked, with seeds one after the other. Results are written
 * after each, so that a run that is broken off leaves what it has, called partial.
 */
public final class Sweep {
    /**
     * What is asked for.
     *
     * @param base the plan of every point, but for the dimension
     * @param dimension along which it goes
     * @param values on it
     * @param repeat runs of each point
     * @param command as it was given, for the results
     * @param deployment the file that has the nodes' JVM options
     * @param report a folder for results, logs and configurations
     */
    public record Order(
            ScalePlan base,
            Dimension dimension,
            List<Integer> values,
            int repeat,
            String command,
            Path deployment,
            Path report) {
        /** What is wrong with it, or more than this machine bears; null where nothing is. */
        public String fault() {
            Bounds bounds = Bounds.ofThisMachine();
            for (int value : values) {
                ScalePlan plan = base.with(dimension, value);
                String fault = plan.fault() != null ? plan.fault() : bounds.refusal(plan);
                if (fault != null) {
                    return fault;
                }
            }
            return null;
        }
    }

    private final Order order;
    private final PrintStream out;
    private final List<PointFigures> points = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    private Sweep(Order order, PrintStream out) {
        this.order = order;
        this.out = out;
    }

    /**
     * Carries it out; gives whether the rules held at every point.
     *
     * @throws ScaleException where it could not be carried out to its end; what there is has been written
     */
    public static Results run(Order order, PrintStream out) throws IOException, InterruptedException {
        return new Sweep(order, out).run();
    }

    private Results run() throws IOException, InterruptedException {
        Commands commands = new Commands(order.deployment);
        try {
            for (int value : order.values) {
                for (int time = 0; time < order.repeat; time++) {
                    point(commands, value, time);
                }
            }
        } catch (IOException | InterruptedException e) {
            write(commands, e.getMessage() == null ? e.toString() : e.getMessage());
            throw e;
        }
        Results results = write(commands, null);
        out.println("scale " + order.dimension.text() + " seed " + order.base.seed() + ": "
                + (results.held() ? "ok" : "violated: " + violations.get(0)) + " (" + points.size() + " points, "
                + points.stream().mapToLong(PointFigures::jobs).sum() + " jobs measured)");
        return results;
    }

    private void point(Commands commands, int value, int time) throws IOException, InterruptedException {
        ScalePlan plan = order.base.with(order.dimension, value).withSeed(order.base.seed() + time);
        out.println("scale: " + order.dimension.text() + " " + value + ", run " + (time + 1) + " of " + order.repeat);
        Path folder = order.report.resolve(order.dimension.text() + "-" + value + "-" + (time + 1));
        try (ScaleRun run = new ScaleRun(plan, out)) {
            PointFigures figures = run.run(commands, folder);
            points.add(figures);
            violations.addAll(run.violations());
            out.println("scale: " + Results.line(figures));
            run.violations().forEach(what -> out.println("VIOLATED: " + what));
        }
        write(commands, "not all points are there yet");
    }

    private Results write(Commands commands, String why) throws IOException {
        Results results = new Results(
                order.command,
                order.dimension,
                order.base.seed(),
                order.repeat,
                why,
                Results.Machine.present(commands.nodeOptions()),
                List.copyOf(violations),
                List.copyOf(points));
        results.write(order.report);
        return results;
    }
}
