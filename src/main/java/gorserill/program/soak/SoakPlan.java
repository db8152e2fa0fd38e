package gorserill.program.soak;

import java.nio.file.Path;
import java.util.Set;

/**
 * One run.
 *
 * @param seconds how long it goes on under faults
 * @param clients connections that clients keep busy at each node
 * @param plant a fault of the surroundings that the checks must find
 * @param folder for configurations, logs and the report
 */
public record SoakPlan(
        long seed, int seconds, int nodes, int workers, int clients, Set<Fault> faults, Plant plant, Path folder) {
    boolean has(Fault fault) {
        return faults.contains(fault);
    }
}
