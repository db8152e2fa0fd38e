package gorserill.contract;

import barrowflow.Dispatcher.Effect;

/**
 * What was learned of an operation besides its form; each part null where nothing was.
 *
 * @param jobClass the class of the settings
 * @param effect the stricter of what the description and the class say
 * @param key where the key comes from that repeats are told by
 * @param deadline how long its clients wait at the most, microseconds
 * @param slots that its jobs take, where a request does not say
 * @param answers whether workers' answers are held against the description
 */
public record Terms(
        Sourced<String> jobClass,
        Sourced<Effect> effect,
        Sourced<Expression> key,
        Sourced<Long> deadline,
        Sourced<Double> slots,
        Sourced<Answers> answers) {

    /** What happens to a worker's answer that is not as described. */
    public enum Answers {
        OFF,
        REPORT,
        ENFORCE
    }

    /** How long a client waits at the most, no longer than {@code most} microseconds. */
    public long within(long most) {
        return deadline == null ? most : Math.min(most, deadline.value());
    }

    /** The slots that a job takes whose request does not say. */
    public double usualSlots() {
        return slots == null ? 1 : slots.value();
    }

    /** The class's name, or null. */
    public String className() {
        return jobClass == null ? null : jobClass.value();
    }
}
