package gorserill.program;

import gorserill.common.Loop;
import gorserill.protocol.discovery.WatchStatistics;
import gorserill.protocol.faktory.FaktoryFrontend;
import gorserill.routing.Core;
import gorserill.routing.HoldReason;
import gorserill.routing.JobStatistics;
import java.util.List;
import java.util.Locale;

/** The node's metrics, in the text format that the operators' collector reads. */
final class NodeMetrics {
    private static final String END_MARKER = "eof\n";
    private static final int MICROS_PER_MILLI = 1_000;

    private final List<String> classNames;
    private final Core core;
    private final WorkerDirectory workers;
    private final FaktoryFrontend faktory;
    private final Loop loop;
    private final WatchStatistics watch;
    private long reloads;
    private long failedReloads;

    /** @param faktory null where the Faktory front end is disabled */
    NodeMetrics(
            List<String> classNames,
            Core core,
            WorkerDirectory workers,
            FaktoryFrontend faktory,
            Loop loop,
            WatchStatistics watch) {
        this.loop = loop;
        this.watch = watch;
        this.classNames = classNames;
        this.core = core;
        this.workers = workers;
        this.faktory = faktory;
    }

    /** Counts a reload of the configuration. */
    void recordReload(boolean success) {
        if (success) {
            reloads++;
        } else {
            failedReloads++;
        }
    }

    /** The current metrics, followed by an end marker line. */
    String text() {
        StringBuilder text = new StringBuilder(1024);
        JobStatistics statistics = core.statistics();
        for (int c = 0; c < classNames.size(); c++) {
            appendCalls(text, c, "success", statistics.served(c));
            appendCalls(text, c, "busy", statistics.refused(c));
            appendCalls(text, c, "failure", statistics.failed(c));
        }
        append(text, "backend_calls_total", statistics.attempts());
        append(text, "inflight", core.openRequests());
        append(text, "hosts_listed", workers.listedCount() + (faktory == null ? 0 : faktory.workerCount()));
        append(text, "hosts_down", workers.avoidedCount() + (faktory == null ? 0 : faktory.avoidedWorkerCount()));
        append(text, "reconfig_ok_total", reloads);
        append(text, "reconfig_failed_total", failedReloads);
        return text.append(END_MARKER).toString();
    }

    /** Further metrics for tracing incidents, in the same format. */
    String diagnostics() {
        StringBuilder text = new StringBuilder(1024);
        for (HoldReason reason : HoldReason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            append(
                    text,
                    "held_back_total{reason=\"" + name + "\"}",
                    core.statistics().heldBack(reason));
        }
        append(text, "port_faults_total", core.portFaults());
        append(text, "discovery_calls_total", watch.calls());
        append(text, "discovery_answers_total", watch.answered());
        append(text, "discovery_turned_away_total", watch.turnedAway());
        append(text, "discovery_failed_total", watch.failed());
        append(text, "discovery_silent_total", watch.silent());
        append(text, "discovery_superseded_total", watch.superseded());
        append(text, "discovery_late_answers_total", watch.lateAnswers());
        append(text, "list_version", workers.version());
        append(text, "pauses_total", loop.pauses());
        append(text, "longest_pause_ms", loop.longestPauseMicros() / MICROS_PER_MILLI);
        return text.append(END_MARKER).toString();
    }

    private void appendCalls(StringBuilder text, int jobClass, String code, long count) {
        append(text, "calls_total{tier=\"" + classNames.get(jobClass) + "\",code=\"" + code + "\"}", count);
    }

    private static void append(StringBuilder text, String name, long value) {
        text.append("app_").append(name).append(' ').append(value).append('\n');
    }
}
