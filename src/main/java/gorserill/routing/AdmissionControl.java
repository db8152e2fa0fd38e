package gorserill.routing;

/** Decides whether a job is accepted before the decision module sees it. Called on the core's thread. */
@FunctionalInterface
public interface AdmissionControl {
    /** Returns whether an attempt may be made. The first attempt at a job is always allowed. */
    default boolean mayAttempt(boolean first) {
        return true;
    }

    /**
     * Decides on a new job.
     *
     * @param now microseconds of the core's clock
     * @param jobClass index of the class in the settings
     * @param tenant index of the tenant in the settings; -1 for a tenant that they do not list
     * @return 0 if the job is accepted, otherwise the microseconds after which the client should retry
     */
    long admissionDelay(long now, int jobClass, int tenant);
}
