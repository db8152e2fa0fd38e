package gorserill.contract.read;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Collects all that is wrong, so that an author hears of it at once and not fault by fault. */
public final class Faults {
    /** Danger: a machine-made document can be wrong in every line; nobody reads more than so many. */
    static final int KEPT = 200;

    private final Set<Fault> kept = new LinkedHashSet<>();
    private int errors;
    private int left;

    /** The description can't be used. */
    public void error(Place place, String what, String remedy) {
        add(new Fault(true, place, what, remedy));
    }

    /** Worth knowing; the description is used. */
    public void warning(Place place, String what, String remedy) {
        add(new Fault(false, place, what, remedy));
    }

    private void add(Fault fault) {
        if (kept.contains(fault)) {
            return;
        }
        errors += fault.error() ? 1 : 0;
        if (kept.size() < KEPT) {
            kept.add(fault);
        } else {
            left++;
        }
    }

    public boolean sound() {
        return errors == 0;
    }

    /** Errors counted, kept or not. */
    public int errors() {
        return errors;
    }

    /** How many were counted and not kept. */
    public int left() {
        return left;
    }

    /** In the order in which they were found. */
    public List<Fault> all() {
        return Collections.unmodifiableList(new ArrayList<>(kept));
    }

    /** All on lines of their own, the last one telling how many were left out. */
    public String text() {
        StringBuilder text = new StringBuilder();
        kept.forEach(fault -> text.append(fault).append('\n'));
        return left == 0
                ? text.toString()
                : text.append("and ").append(left).append(" more\n").toString();
    }
}
