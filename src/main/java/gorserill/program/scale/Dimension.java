package gorserill.program.scale;

import java.util.Locale;

/** What a sweep goes along. */
public enum Dimension {
    WORKERS,
    NODES,
    HOLLOW_NODES,
    TENANTS,
    CHURN;

    /** Its name as arguments and files have it. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Where a point stands on it. */
    public double of(ScalePlan plan) {
        return switch (this) {
            case WORKERS -> plan.workers();
            case NODES -> plan.nodes();
            case HOLLOW_NODES -> plan.hollowNodes();
            case TENANTS -> plan.tenants();
            case CHURN -> plan.churn();
        };
    }
}
