package gorserill.program.soak;

import java.util.SplittableRandom;

/** The classes of the settings that nodes are given in a run. */
enum JobClass {
    STATUS("estado", 1_000),
    HISTORY("historial", 5_000),
    /** Must not run twice. */
    ALERT("alerta", 1_500),
    /** May be repeated under its key. */
    CLOSING("cierre", 5_000);

    private final String text;
    private final int deadline;

    JobClass(String text, int deadline) {
        this.text = text;
        this.deadline = deadline;
    }

    String text() {
        return text;
    }

    /** Milliseconds that a client waits. */
    int deadline() {
        return deadline;
    }

    static JobClass draw(SplittableRandom random) {
        return values()[random.nextInt(values().length)];
    }
}
