package gorserill.program.scale;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * What this machine bears: no more than half of its memory, the descriptors that a process may have, and a
 * few
 * hundred processes. A plan beyond it is refused, with what would fit.
 *
 * @param memoryMb of the machine
 * @param descriptors that one process may have
 */
record Bounds(long memoryMb, long descriptors) {
    private static final int MOST_PROCESSES = 200;
    /** Megabytes: the run itself; a node; a hollow process, and a thousand workers in it. */
    private static final int OWN = 400;

    private static final int NODE = 130;
    private static final int HOLLOW_PROCESS = 110;
    private static final int THOUSAND_WORKERS = 16;
    /** Connections that a node may have at a time, as its settings say. */
    private static final int NODE_CONNECTIONS = 1_024;

    private static final int OWN_DESCRIPTORS = 100;
    private static final int THOUSAND = 1_000;

    static Bounds ofThisMachine() {
        var system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long descriptors =
                system instanceof UnixOperatingSystemMXBean unix ? unix.getMaxFileDescriptorCount() : Long.MAX_VALUE;
        return new Bounds(system.getTotalMemorySize() >> 20, descriptors);
    }

    /** Why the plan is not to be carried out, and what would fit; null where it may be. */
    String refusal(ScalePlan plan) {
        long needed = memory(plan);
        if (needed > memoryMb / 2) {
            long left = memoryMb / 2 - memory(plan) + (long) plan.nodes() * NODE;
            return "the plan needs some " + needed + " MB, and half of this machine's memory is "
                    + memoryMb / 2 + " MB; with " + plan.workers() + " workers " + Math.max(0, left / NODE)
                    + " nodes would fit";
        }
        long atOnce = descriptors(plan);
        if (atOnce > descriptors) {
            long others = atOnce - Math.min(HollowFleet.IN_PROCESS, plan.workers());
            return "a process of workers needs up to " + atOnce + " descriptors, and may have " + descriptors
                    + " (ulimit -n); with " + plan.nodes() + " nodes " + Math.max(0, descriptors - others)
                    + " workers would fit";
        }
        int processes = plan.nodes() + processes(plan) + hollowProcesses(plan);
        return processes <= MOST_PROCESSES
                ? null
                : "the plan needs " + processes + " processes, and " + MOST_PROCESSES + " are the most";
    }

    private static int processes(ScalePlan plan) {
        return (plan.workers() + HollowFleet.IN_PROCESS - 1) / HollowFleet.IN_PROCESS;
    }

    private static int hollowProcesses(ScalePlan plan) {
        return (plan.hollowNodes() + HollowMembers.IN_PROCESS - 1) / HollowMembers.IN_PROCESS;
    }

    private static long memory(ScalePlan plan) {
        return OWN
                + (long) plan.nodes() * NODE
                + (processes(plan) + hollowProcesses(plan)) * (long) HOLLOW_PROCESS
                + (long) plan.workers() * THOUSAND_WORKERS / THOUSAND;
    }

    private static long descriptors(ScalePlan plan) {
        return Math.min(HollowFleet.IN_PROCESS, plan.workers())
                + (long) plan.nodes() * NODE_CONNECTIONS
                + OWN_DESCRIPTORS;
    }
}
