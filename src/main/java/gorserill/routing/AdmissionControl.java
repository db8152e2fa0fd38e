package gorserill.routing;

/** Says whether a job may be taken at all, before anything is decided of it; called on the core's thread. */
@FunctionalInterface
public interface AdmissionControl {
    /** An attempt at a job is about to be made; whether it may be. A job's first one always may. */
    default boolean mayAttempt(boolean first) {
        return true;
    }

    /**
     * A job asks to be let in, and is if this gives 0.
     *
     * @param now microseconds of the core's clock
     * @param tenant its place in the settings' list; -1 where it is none of these
     * @return else microseconds after which it had better come again
     */
    long admissionDelay(long now, int jobClass, int tenant);
}
