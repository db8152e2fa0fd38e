package gorserill.program.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** A chart of each figure against the dimension of a sweep, as PNG: medians, and bars for the spread. */
final class Charts {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 400;

    /** A figure that is drawn. */
    private record Drawn(String file, String title, ToDoubleFunction<PointFigures> of) {}

    private static final List<Drawn> ALL = List.of(
            new Drawn("cpu-per-job", "CPU a job, ms", PointFigures::cpuMsPerJob),
            new Drawn("cpu-idle", "CPU idle, % of a core", PointFigures::idleCorePercent),
            new Drawn(
                    "bytes-per-second",
                    "bytes a second from discovery to a node, idle",
                    PointFigures::discoveryBytesPerSecondIdle),
            new Drawn("heap", "live heap, MB", PointFigures::heapMb),
            new Drawn("rss", "resident memory, MB", PointFigures::residentMb),
            new Drawn("ready", "time to ready, ms", PointFigures::readyMs),
            new Drawn("learn", "time to learn a change, median, ms", PointFigures::learnP50Ms),
            new Drawn("cpu-idle-most", "CPU idle of the busiest node, % of a core", PointFigures::idleCorePercentMost),
            new Drawn(
                    "cluster-bytes",
                    "bytes a second between hollow nodes and voters, idle",
                    PointFigures::clusterBytesPerSecond),
            new Drawn("join", "until all hollow nodes are members, ms", PointFigures::joinMs),
            new Drawn(
                    "part", "time to a part of a budget that follows the demand, median, ms", PointFigures::partP50Ms),
            new Drawn("latency-p99", "latency, 99th percentile, ms", PointFigures::latencyP99Ms));

    private Charts() {}

    /** Writes them into a folder; none for a sweep of one value. */
    static void write(Results results, Path folder) throws IOException {
        if (results.points().stream()
                        .mapToDouble(p -> at(results, p))
                        .distinct()
                        .count()
                < 2) {
            return;
        }
        System.setProperty("java.awt.headless", "true");
        for (Drawn drawn : ALL) {
            if (results.points().stream().anyMatch(point -> !(drawn.of.applyAsDouble(point) > 0))) {
                // It was not measured at all points.
                continue;
            }
            BitmapEncoder.saveBitmap(
                    chart(results, drawn), folder.resolve(drawn.file).toString(), BitmapFormat.PNG);
        }
    }

    private static double at(Results results, PointFigures point) {
        return switch (results.dimension()) {
            case WORKERS -> point.workers();
            case NODES -> point.nodes();
            case HOLLOW_NODES -> point.hollowNodes();
            case TENANTS -> point.tenants();
            case CHURN -> point.churn();
        };
    }

    private static XYChart chart(Results results, Drawn drawn) {
        Map<Double, List<Double>> byPlace = new TreeMap<>();
        for (PointFigures point : results.points()) {
            byPlace.computeIfAbsent(at(results, point), p -> new ArrayList<>()).add(drawn.of.applyAsDouble(point));
        }
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(drawn.title)
                .xAxisTitle(results.dimension().text())
                .build();
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLogarithmic(byPlace.keySet().iterator().next() > 0);
        double[] places =
                byPlace.keySet().stream().mapToDouble(Double::doubleValue).toArray();
        double[] medians = byPlace.values().stream().mapToDouble(Charts::median).toArray();
        double[] spreads =
                byPlace.values().stream().mapToDouble(Charts::halfSpread).toArray();
        chart.addSeries(drawn.title, places, medians, spreads).setMarker(SeriesMarkers.CIRCLE);
        return chart;
    }

    private static double median(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    private static double halfSpread(List<Double> values) {
        double[] sorted =
                values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return (Arrays.stream(sorted).max().orElse(0) - sorted[0]) / 2;
    }
}
