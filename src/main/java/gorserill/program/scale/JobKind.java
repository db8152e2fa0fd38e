package gorserill.program.scale;

import java.util.Locale;
import java.util.SplittableRandom;

/** The classes of jobs that clients send, those of the demo's settings. */
enum JobKind {
    ESTADO(70, 1_000),
    HISTORIAL(10, 5_000),
    ALERTA(15, 1_500),
    CIERRE(5, 5_000);

    private static final int ALL = 100;
    private final int percent;
    private final int deadline;

    /**
     * A kind.
     *
     * @param percent of all jobs
     * @param deadline milliseconds that its clients wait
     */
    JobKind(int percent, int deadline) {
        this.percent = percent;
        this.deadline = deadline;
    }

    /** Draws one. */
    static JobKind draw(SplittableRandom random) {
        int left = random.nextInt(ALL);
        for (JobKind kind : values()) {
            left -= kind.percent;
            if (left < 0) {
                return kind;
            }
        }
        throw new AssertionError("the parts are all");
    }

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    int deadline() {
        return deadline;
    }

    boolean onceAtMost() {
        return this == ALERTA;
    }

    boolean keyed() {
        return this == CIERRE;
    }
}
