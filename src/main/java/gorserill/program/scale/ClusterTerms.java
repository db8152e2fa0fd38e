package gorserill.program.scale;

import gorserill.cluster.member.MemberConfig;
import gorserill.cluster.shared.Budget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/**
 * The cluster of a run: its voters are real nodes, all others are hollow; one budget, so large that it bounds
 * no client.
 *
 * @param voters how many; their names and addresses follow from their numbers
 * @param nodes in all
 */
record ClusterTerms(int voters, int nodes) {
    /** Jobs a second of the budget. */
    static final int PER_SECOND = 100_000;
    /** Milliseconds, those of the deployment. */
    static final long BEAT = 200;

    static final long LEASE = 3_000;
    private static final int DRIFT_PERCENT = 5;
    private static final int FLOOR_PERCENT = 20;
    private static final String NAME = "scale";
    private static final String BUDGET = "jobs";
    private static final String BUILD = "0.1.0";

    /** The voters' addresses by their names. */
    static Map<String, InetSocketAddress> addresses(int voters) throws IOException {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (int n = 0; n < voters; n++) {
            addresses.put("n" + n, new InetSocketAddress(ServeNode.address(n), ServeNode.WIRE));
        }
        return addresses;
    }

    /** The budget, as a node's member has it; it counts jobs of the first class. */
    Budget budget() {
        return new Budget(BUDGET, 0, -1, PER_SECOND, PER_SECOND, FLOOR_PERCENT, nodes, true);
    }

    /** The budget's name. */
    static String budgetName() {
        return BUDGET;
    }

    /** What a hollow node's member is told. */
    MemberConfig terms(String node, List<String> voting) {
        return new MemberConfig(
                NAME,
                node,
                UUID.randomUUID().toString(),
                System.currentTimeMillis(),
                BUILD,
                voting,
                List.of(),
                BEAT,
                LEASE,
                DRIFT_PERCENT / 100.0);
    }

    /** The cluster's file of a voter. */
    String file(int voter, Path store) throws IOException {
        List<String> members = new ArrayList<>();
        List<String> names = new ArrayList<>();
        addresses(voters).forEach((name, at) -> {
            names.add("\"" + name + "\"");
            members.add("\"" + name + "\": \"" + at.getAddress().getHostAddress() + ":" + at.getPort() + "\"");
        });
        return """
            {"enabled": true, "cluster": "%s", "listen": "%s:%d", "members": {%s}, "voters": [%s],
             "store": "%s", "beat_ms": %d, "lease_ms": %d, "drift_percent": %d, "standing": {},
             "budgets": {"%s": {"class": "estado", "per_s": %d, "burst": %d, "floor_percent": %d,
                                "nodes": %d}}}
            """.formatted(
                        NAME,
                        ServeNode.address(voter).getHostAddress(),
                        ServeNode.WIRE,
                        String.join(", ", members),
                        String.join(", ", names),
                        store,
                        BEAT,
                        LEASE,
                        DRIFT_PERCENT,
                        BUDGET,
                        PER_SECOND,
                        PER_SECOND,
                        FLOOR_PERCENT,
                        nodes);
    }
}
