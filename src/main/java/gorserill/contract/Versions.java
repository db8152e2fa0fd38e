package gorserill.contract;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The contracts of one front, one after another: the present one decides on what comes, older ones are kept
 * while requests that were taken under them are open. A repeat belongs to the version of its first try, as
 * far as that can be told: if the present version reads its key from elsewhere, workers would not know the
 * repeat by it. For one thread; it knows no clock.
 */
public final class Versions {
    /** Danger: keys come from clients, and each is kept for a while; so many of a version at the most. */
    private static final int KEYS = 4_096;
    /** Older ones that are kept for repeats alone; open requests keep as many as they need. */
    private static final int KEPT_FOR_REPEATS = 4;

    private final long repeatsFor;
    private final Deque<Version> older = new ArrayDeque<>();
    private Version current;
    private int numbered;

    /** A contract in force for a while, and what was counted under it. */
    public static final class Version {
        private final int number;
        private final Contract contract;
        private final Map<String, Boolean> keys = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > KEYS;
            }
        };
        private final Map<Integer, Long> turnedAway = new TreeMap<>();
        private long taken;
        private long badAnswers;
        private int open;
        private long replacedAt;

        private Version(int number, Contract contract) {
            this.number = number;
            this.contract = contract;
        }

        public int number() {
            return number;
        }

        public Contract contract() {
            return contract;
        }

        /** Requests taken under it. */
        public long taken() {
            return taken;
        }

        /** Requests turned away by it, by status. */
        public Map<Integer, Long> turnedAway() {
            return turnedAway;
        }

        /** Answers of workers that were not as it describes. */
        public long badAnswers() {
            return badAnswers;
        }

        /** Requests taken under it whose fate is not yet known. */
        public int open() {
            return open;
        }

        public void answeredBadly() {
            badAnswers++;
        }
    }

    /**
     * What became of a request at the door.
     *
     * @param version that decided on it
     */
    public record Admission(Version version, Verdict verdict) {}

    /** @param repeatsFor how long after its end a version still knows its repeats, microseconds */
    public Versions(long repeatsFor) {
        this.repeatsFor = repeatsFor;
    }

    /** The version in force; null where there is no contract. */
    public Version current() {
        return current;
    }

    /** The version in force and those before it that are still needed, newest first. */
    public List<Version> kept() {
        List<Version> kept = new ArrayList<>(older);
        if (current != null) {
            kept.add(0, current);
        }
        return kept;
    }

    /**
     * Puts another contract in force, or none; gives whether anything changed. The same text read again
     * changes nothing.
     */
    public boolean replace(Contract contract, long now) {
        if (current != null && contract != null && contract.fingerprint().equals(current.contract.fingerprint())) {
            return false;
        }
        if (current != null) {
            current.replacedAt = now;
            older.addFirst(current);
        }
        boolean changed = current != null || contract != null;
        current = contract == null ? null : new Version(++numbered, contract);
        prune(now);
        return changed;
    }

    private void prune(long now) {
        int kept = 0;
        for (Iterator<Version> each = older.iterator(); each.hasNext(); ) {
            Version version = each.next();
            boolean repeats =
                    !version.keys.isEmpty() && now < version.replacedAt + repeatsFor && kept++ < KEPT_FOR_REPEATS;
            if (version.open == 0 && !repeats) {
                each.remove();
            }
        }
    }

    /**
     * Decides on a request.
     *
     * @param mayRepeat whether it may be another try of one that came before
     * @param decide asks a contract
     */
    public Admission admit(long now, boolean mayRepeat, Function<Contract, Verdict> decide) {
        Verdict verdict = decide.apply(current.contract);
        Admission admission = new Admission(current, verdict);
        if (mayRepeat && !older.isEmpty() && !knows(current, verdict)) {
            prune(now);
            int asked = 0;
            for (Version version : older) {
                // Danger: each of them costs as much as the present one; quick reloads leave many open.
                if (version.keys.isEmpty() || now >= version.replacedAt + repeatsFor || asked++ == KEPT_FOR_REPEATS) {
                    continue;
                }
                Verdict then = decide.apply(version.contract);
                if (knows(version, then)) {
                    admission = new Admission(version, stricter(then, verdict));
                    break;
                }
            }
        }
        if (!admission.verdict.letIn()) {
            admission.version.turnedAway.merge(admission.verdict.problem().status(), 1L, Long::sum);
        }
        return admission;
    }

    private static boolean knows(Version version, Verdict verdict) {
        return verdict.letIn() && verdict.key() != null && version.keys.containsKey(verdict.key());
    }

    /** A repeat keeps class and key of its first try, but what became stricter since binds it, too. */
    private static Verdict stricter(Verdict first, Verdict now) {
        return now.effect() == null || first.effect() == null || !Effects.weaker(first.effect(), now.effect())
                ? first
                : new Verdict(first.operation(), first.key(), null, now.effect());
    }

    /** A request was taken; {@link #over} must follow. */
    public void taken(Admission admission) {
        Version version = admission.version;
        version.taken++;
        version.open++;
        if (admission.verdict.key() != null) {
            version.keys.put(admission.verdict.key(), true);
        }
    }

    /** Nothing more will be asked of a request that was taken. */
    public void over(Version version, long now) {
        version.open--;
        if (version != current) {
            prune(now);
        }
    }
}
