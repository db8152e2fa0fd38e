package gorserill.program;

import gorserill.common.Loop;
import gorserill.protocol.discovery.WatchStatistics;
import gorserill.protocol.faktory.FaktoryFrontend;
import gorserill.routing.Core;
import gorserill.routing.HoldReason;
import gorserill.routing.JobStatistics;
import java.util.List;
import java.util.Locale;

/** What the node reports of itself, in the text format that the operators' collector reads. */
final class Figures {
    private static final String END = "eof\n";
    private static final int MICROS_PER_MILLI = 1_000;

    private final List<String> classNames;
    private final Core core;
    private final Fleet fleet;
    private final FaktoryFrontend faktory;
    private final Loop loop;
    private final WatchStatistics watch;
    private long reloads;
    private long faultyReloads;

    /** @param faktory null where that front is off */
    Figures(
            List<String> classNames,
            Core core,
            Fleet fleet,
            FaktoryFrontend faktory,
            Loop loop,
            WatchStatistics watch) {
        this.loop = loop;
        this.watch = watch;
        this.classNames = classNames;
        this.core = core;
        this.fleet = fleet;
        this.faktory = faktory;
    }

    void reloaded(boolean sound) {
        if (sound) {
            reloads++;
        } else {
            faultyReloads++;
        }
    }

    /** All figures as they are now, and a line that ends them. */
    String text() {
        StringBuilder text = new StringBuilder(1024);
        JobStatistics tally = core.statistics();
        for (int c = 0; c < classNames.size(); c++) {
            calls(text, c, "success", tally.served(c));
            calls(text, c, "busy", tally.refused(c));
            calls(text, c, "failure", tally.failed(c));
        }
        line(text, "backend_calls_total", tally.attempts());
        line(text, "inflight", core.openRequests());
        line(text, "hosts_listed", fleet.listed() + (faktory == null ? 0 : faktory.workerCount()));
        line(text, "hosts_down", fleet.avoided() + (faktory == null ? 0 : faktory.avoidedWorkerCount()));
        line(text, "reconfig_ok_total", reloads);
        line(text, "reconfig_failed_total", faultyReloads);
        return text.append(END).toString();
    }

    /** What an incident is traced by, beside the platform's figures; the form is the same. */
    String diagnostics() {
        StringBuilder text = new StringBuilder(1024);
        for (HoldReason reason : HoldReason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            line(
                    text,
                    "held_back_total{reason=\"" + name + "\"}",
                    core.statistics().heldBack(reason));
        }
        line(text, "discovery_calls_total", watch.calls());
        line(text, "discovery_answers_total", watch.answered());
        line(text, "discovery_turned_away_total", watch.turnedAway());
        line(text, "discovery_failed_total", watch.failed());
        line(text, "discovery_silent_total", watch.silent());
        line(text, "discovery_superseded_total", watch.superseded());
        line(text, "discovery_late_answers_total", watch.lateAnswers());
        line(text, "list_version", fleet.version());
        line(text, "pauses_total", loop.pauses());
        line(text, "longest_pause_ms", loop.longestPauseMicros() / MICROS_PER_MILLI);
        return text.append(END).toString();
    }

    private void calls(StringBuilder text, int jobClass, String code, long count) {
        line(text, "calls_total{tier=\"" + classNames.get(jobClass) + "\",code=\"" + code + "\"}", count);
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("app_").append(name).append(' ').append(value).append('\n');
    }
}
