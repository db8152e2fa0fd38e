package gorserill.program.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What came of a run.
 *
 * @param counts how often each rule was broken
 * @param broken a line for each violation, the first first
 * @param timeline what was seen around the first
 */
public record SoakResult(
        SoakPlan plan, String summary, Map<String, Integer> counts, List<String> broken, List<String> timeline) {
    private static final int BEFORE = 8_000;
    private static final int AFTER = 300;

    static SoakResult of(SoakPlan plan, Oracle oracle, double runMillis, List<Oracle.Violation> all) {
        boolean judgesTimes = oracle.judgesTimes(runMillis);
        List<Oracle.Violation> violations = all.stream()
                .filter(violation -> judgesTimes || !violation.timed())
                .toList();
        String summary = oracle.summary()
                + (judgesTimes ? "" : ", rules of time not judged (" + (all.size() - violations.size()) + " doubtful)");
        Map<String, Integer> counts = new TreeMap<>();
        violations.forEach(violation -> counts.merge(violation.rule(), 1, Integer::sum));
        List<String> broken = new ArrayList<>();
        for (Oracle.Violation violation : violations) {
            broken.add(String.format(Locale.ROOT, "%9.1f %s: %s", violation.at(), violation.rule(), violation.what()));
        }
        List<String> timeline = violations.isEmpty()
                ? List.of()
                : oracle.around(violations.get(0).at(), BEFORE, AFTER);
        return new SoakResult(plan, summary, counts, broken, timeline);
    }

    /** Whether every rule held. */
    public boolean held() {
        return broken.isEmpty();
    }
}
