package gorserill.program.drill;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A drill as one page: a time line of faults and owners by node, then all that happened. */
final class Report {
    private static final int WIDTH = 1_200;
    private static final int ROW = 26;
    private static final int MOST_LINES = 4_000;
    private static final List<String> COLOURS = List.of("#4477aa", "#66ccee", "#228833", "#ccbb44");

    private Report() {}

    static void write(Drill.Plan plan, Audit audit, Links links) throws IOException {
        List<Audit.Event> events = audit.events();
        long length = Math.max(1, audit.now());
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>drill</title><style>")
                .append("body{font:14px sans-serif;margin:2em}td{padding:0 1em 0 0;white-space:nowrap}</style>")
                .append("<h1>drill ")
                .append(plan.piece())
                .append(", seed ")
                .append(plan.seed())
                .append("</h1><p>")
                .append(escape(audit.violation() == null ? "Nothing was violated." : "VIOLATED: " + audit.violation()))
                .append("<p>")
                .append(escape(audit.counts()))
                .append("; ")
                .append(links.bytes.get())
                .append(" bytes in ")
                .append(links.passed.get())
                .append(" messages.<p>")
                .append("Bars: who owned which job, a colour each. Red marks: faults.");
        page.append("<svg width=")
                .append(WIDTH + 60)
                .append(" height=")
                .append((plan.nodes() + 1) * ROW)
                .append('>');
        for (int n = 0; n < plan.nodes(); n++) {
            page.append("<text x=0 y=")
                    .append(n * ROW + 14)
                    .append(">n")
                    .append(n)
                    .append("</text>");
        }
        List<String> jobs = new ArrayList<>();
        Map<String, Long> since = new HashMap<>();
        for (Audit.Event event : events) {
            if (!event.where().matches("n\\d+")) {
                continue;
            }
            int row = Integer.parseInt(event.where().substring(1)) * ROW;
            if (event.what().startsWith("fault")) {
                page.append("<rect fill=red y=")
                        .append(row)
                        .append(" width=2 height=20 x=")
                        .append(place(event.at(), length))
                        .append("><title>")
                        .append(escape(event.what()))
                        .append("</title></rect>");
            }
            String job = event.what().split(" ")[0];
            if (event.what().contains("owned from")) {
                since.put(event.where() + job, event.at());
            } else if (event.what().contains("owned no more") && since.containsKey(event.where() + job)) {
                if (!jobs.contains(job)) {
                    jobs.add(job);
                }
                long from = since.remove(event.where() + job);
                int which = jobs.indexOf(job) % COLOURS.size();
                page.append("<rect fill='")
                        .append(COLOURS.get(which))
                        .append("' y=")
                        .append(row + which * 4)
                        .append(" height=4 x=")
                        .append(place(from, length))
                        .append(" width=")
                        .append(Math.max(1, place(event.at(), length) - place(from, length)))
                        .append("><title>")
                        .append(escape(event.what()))
                        .append("</title></rect>");
            }
        }
        page.append("</svg><table>");
        List<Audit.Event> told = audit.violation() == null ? events : audit.history();
        told.stream()
                .skip(Math.max(0, told.size() - MOST_LINES))
                .forEach(e -> page.append("<tr><td>")
                        .append(e.at())
                        .append(" ms<td>")
                        .append(escape(e.where()))
                        .append("<td>")
                        .append(escape(e.what())));
        Files.writeString(
                plan.report().resolve("report.html"), page.append("</table>").toString(), StandardCharsets.UTF_8);
    }

    private static long place(long at, long length) {
        return 30 + at * WIDTH / length;
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
