package gorserill.program;

import gorserill.protocol.admin.AdminFrontend;
import gorserill.protocol.admin.AdminFrontend.Call;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The operators' calls, by name. */
final class OperatorCalls {
    private final Lifecycle lifecycle;
    private final Maintenance maintenance;
    private final NodeMetrics metrics;

    private final Supplier<String> contracts;
    private final Consumer<Consumer<String>> reload;
    private final ClusterPart cluster;

    /**
     * @param contracts returns the contracts' versions, one line each
     * @param reload reads the configuration again and reports the error, or null, on the loop's thread
     * @param cluster null where this node is not a member of a cluster
     */
    OperatorCalls(
            Lifecycle lifecycle,
            Maintenance maintenance,
            NodeMetrics metrics,
            Supplier<String> contracts,
            Consumer<Consumer<String>> reload,
            ClusterPart cluster) {
        this.cluster = cluster;
        this.contracts = contracts;
        this.reload = reload;
        this.metrics = metrics;
        this.lifecycle = lifecycle;
        this.maintenance = maintenance;
    }

    Map<String, Call> byName() {
        return Map.of(
                "contract", argument -> contracts.get(),
                "reload",
                        new AdminFrontend.DeferredCall((argument, reply) ->
                                reload.accept(error -> reply.accept(AdminFrontend.reply(error == null, error)))),
                "cluster",
                        new AdminFrontend.DeferredCall((argument, reply) -> {
                            if (cluster == null) {
                                reply.accept(AdminFrontend.reply(false, "this node is no member of a cluster"));
                            } else {
                                cluster.call(argument, reply);
                            }
                        }),
                "readyz", argument -> AdminFrontend.reply(lifecycle.canServe(), "it does not serve yet, or no more"),
                "telemetry", argument -> metrics.text(),
                "diagnostics", argument -> metrics.diagnostics(),
                "exclude", worker -> maintain(worker, true),
                "include", worker -> maintain(worker, false),
                "evacuate", new AdminFrontend.DeferredCall((argument, reply) -> evacuate(reply)),
                "activate",
                        argument -> done(() -> {
                            lifecycle.activate();
                            if (cluster != null) {
                                cluster.backInService();
                            }
                        }));
    }

    /** In a cluster, the node first requests permission, since only a limited number of nodes may be out of service. */
    private void evacuate(Consumer<String> reply) {
        if (cluster == null) {
            reply.accept(done(lifecycle::evacuate));
            return;
        }
        cluster.permit(refusal -> {
            if (refusal == null) {
                lifecycle.evacuate();
            }
            reply.accept(AdminFrontend.reply(refusal == null, refusal));
        });
    }

    private String maintain(String worker, boolean banned) {
        String refusal = maintenance.setBanned(worker, banned);
        return AdminFrontend.reply(refusal == null, refusal);
    }

    private static String done(Runnable action) {
        action.run();
        return AdminFrontend.reply(true, null);
    }
}
