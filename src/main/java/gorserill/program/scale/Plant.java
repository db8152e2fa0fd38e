package gorserill.program.scale;

/** Faults that can be planted on the wire, so that each check of the rules is seen to find its own. */
public enum Plant {
    /** Nothing is planted. */
    NONE,
    /** Some jobs that must never run twice reach a second worker, too. */
    RUN_TWICE,
    /** Discovery says that it told a node of draining workers, and did not. */
    DRAIN_UNTOLD,
    /** Some answers are lost on their way to the client. */
    ANSWER_LOST,
    /** Some answers reach the client twice. */
    ANSWER_TWICE,
    /** Some results are those of another job. */
    FOREIGN_RESULT;

    /** One in so many is hit by the fault. */
    static final int ONE_IN = 10;

    /** Whether this fault is planted and hits the job of that number. */
    boolean hits(Plant planted, long number) {
        return planted == this && Math.floorMod(number, ONE_IN) == 0;
    }
}
