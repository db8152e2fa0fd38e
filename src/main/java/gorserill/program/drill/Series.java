package gorserill.program.drill;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Drills of many seeds, some of them side by side: a line each, the sum of them, and a table as a file. */
public final class Series {
    private Series() {}

    /**
     * Runs them; gives whether none was violated.
     *
     * @param plan of each but for its seed and its folder, which is one in the plan's
     * @param beside how many at a time
     */
    public static boolean run(Drill.Plan plan, long first, long last, int beside, PrintStream out)
            throws IOException, InterruptedException {
        Files.createDirectories(plan.report());
        ExecutorService pool = Executors.newFixedThreadPool(beside);
        List<Future<Drill.Result>> results = new ArrayList<>();
        for (long seed = first; seed <= last; seed++) {
            Path folder = plan.report().resolve("seed-" + seed);
            Drill.Plan its = new Drill.Plan(
                    plan.piece(), plan.nodes(), plan.seconds(), seed, plan.faults(), plan.plant(), folder);
            results.add(pool.submit(() -> one(its, out)));
        }
        Takeovers takeovers = new Takeovers();
        StringBuilder table = new StringBuilder("seed,ok,last line\n");
        int violated = 0;
        try {
            for (int i = 0; i < results.size(); i++) {
                Drill.Result result = results.get(i).get();
                violated += result.ok() ? 0 : 1;
                takeovers.add(result.audit().takeovers());
                table.append(first + i)
                        .append(',')
                        .append(result.ok())
                        .append(",\"")
                        .append(result.last().replace("\"", "'"))
                        .append("\"\n");
            }
        } catch (ExecutionException e) {
            throw new IOException(
                    "a drill could not be carried out: " + e.getCause().getMessage(), e);
        } finally {
            pool.shutdownNow();
        }
        Files.writeString(plan.report().resolve("drills.csv"), table.toString());
        out.println("table: " + plan.report().resolve("drills.csv"));
        out.println("drill " + plan.piece() + " seeds " + first + " to " + last + ": "
                + (violated == 0 ? "ok" : violated + " violated") + " (" + results.size() + " drills, "
                + takeovers.text() + ")");
        return violated == 0;
    }

    private static Drill.Result one(Drill.Plan plan, PrintStream out) throws IOException, InterruptedException {
        Files.createDirectories(plan.report());
        Drill.Result result;
        try (PrintStream its = new PrintStream(
                Files.newOutputStream(plan.report().resolve("drill.txt")), true, StandardCharsets.UTF_8)) {
            result = Drill.result(plan, its);
        }
        out.println(result.last());
        return result;
    }
}
