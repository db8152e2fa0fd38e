package gorserill.program;

import gorserill.protocol.admin.AdminFrontend;
import gorserill.protocol.admin.AdminFrontend.Call;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What operators can ask of the node, by the names of the calls. */
final class OperatorCalls {
    private final Lifecycle lifecycle;
    private final Maintenance maintenance;
    private final NodeMetrics metrics;

    private final Supplier<String> contracts;
    private final Consumer<Consumer<String>> reload;
    private final ClusterPart cluster;

    /**
     * @param contracts tells of the contracts' versions, a line each
     * @param reload reads the configuration again and tells, on the loop's thread, what is wrong with it, or
     *     null
     * @param cluster null where this node is no member of one
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
                "contract", about -> contracts.get(),
                "reload",
                        new AdminFrontend.DeferredCall((about, to) ->
                                reload.accept(fault -> to.accept(AdminFrontend.reply(fault == null, fault)))),
                "cluster",
                        new AdminFrontend.DeferredCall((about, to) -> {
                            if (cluster == null) {
                                to.accept(AdminFrontend.reply(false, "this node is no member of a cluster"));
                            } else {
                                cluster.call(about, to);
                            }
                        }),
                "readyz", about -> AdminFrontend.reply(lifecycle.canServe(), "it does not serve yet, or no more"),
                "telemetry", about -> metrics.text(),
                "diagnostics", about -> metrics.diagnostics(),
                "exclude", worker -> maintain(worker, true),
                "include", worker -> maintain(worker, false),
                "evacuate", new AdminFrontend.DeferredCall((about, to) -> evacuate(to)),
                "activate",
                        about -> done(() -> {
                            lifecycle.activate();
                            if (cluster != null) {
                                cluster.backInService();
                            }
                        }));
    }

    /** Where so many nodes may be out of service and no more, the others are asked first. */
    private void evacuate(Consumer<String> to) {
        if (cluster == null) {
            to.accept(done(lifecycle::evacuate));
            return;
        }
        cluster.permit(whyNot -> {
            if (whyNot == null) {
                lifecycle.evacuate();
            }
            to.accept(AdminFrontend.reply(whyNot == null, whyNot));
        });
    }

    private String maintain(String worker, boolean out) {
        String whyNot = maintenance.setBanned(worker, out);
        return AdminFrontend.reply(whyNot == null, whyNot);
    }

    private static String done(Runnable what) {
        what.run();
        return AdminFrontend.reply(true, null);
    }
}
