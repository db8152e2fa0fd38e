package gorserill.cluster.lab;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What nodes of each role send and are sent, by kind of message, over the steady part of a run. Rates are for
 * one node of that role and one second.
 */
public final class Traffic {
    /** What a node is at the moment of a message. */
    public enum Role {
        PLAIN,
        VOTER,
        LEADER
    }

    /** Which way a message goes, as seen from the node. */
    public enum Direction {
        SENT,
        RECEIVED
    }

    /** One rate, of one node of a role. */
    public record Figure(
            Role role, Direction direction, MessageKind kind, double messagesPerSecond, double bytesPerSecond) {}

    /** One rate over several runs: the mean, and of bytes the least and the most of any run. */
    public record Rate(
            Role role,
            Direction direction,
            MessageKind kind,
            double messagesPerSecond,
            double bytesPerSecond,
            double leastBytes,
            double mostBytes) {}

    private static final double MILLIS = 1_000;

    private static final int KINDS = MessageKind.values().length;

    private final long[] messages = new long[Role.values().length * Direction.values().length * KINDS];
    private final long[] bytes = new long[messages.length];
    private final Map<Role, Long> nodeMillis = new EnumMap<>(Role.class);

    /** A message was sent by, or came to, a node of that role. */
    public void count(Role role, Direction direction, MessageKind kind, int length) {
        int at = at(role, direction, kind);
        messages[at]++;
        bytes[at] += length;
    }

    private static int at(Role role, Direction direction, MessageKind kind) {
        return (role.ordinal() * Direction.values().length + direction.ordinal()) * KINDS + kind.ordinal();
    }

    /** A node had a role for so long. */
    public void addRoleTime(Role role, long millis) {
        nodeMillis.merge(role, millis, Long::sum);
    }

    /** The figures, by role, direction and kind; none of a kind that did not come. */
    public List<Figure> figures() {
        List<Figure> figures = new ArrayList<>();
        for (Role role : Role.values()) {
            double seconds = nodeMillis.getOrDefault(role, 0L) / MILLIS;
            for (Direction direction : Direction.values()) {
                for (MessageKind kind : MessageKind.values()) {
                    int at = at(role, direction, kind);
                    if (messages[at] > 0 && seconds > 0) {
                        figures.add(new Figure(role, direction, kind, messages[at] / seconds, bytes[at] / seconds));
                    }
                }
            }
        }
        return figures;
    }

    /** The rates of several runs; {@code kind} is null in the sum over all kinds, which comes first. */
    public static List<Rate> rates(List<List<Figure>> runs) {
        List<Rate> rates = new ArrayList<>();
        for (Role role : Role.values()) {
            for (Direction direction : Direction.values()) {
                rate(runs, role, direction, null, rates);
                for (MessageKind kind : MessageKind.values()) {
                    rate(runs, role, direction, kind, rates);
                }
            }
        }
        return rates;
    }

    private static void rate(
            List<List<Figure>> runs, Role role, Direction direction, MessageKind kind, List<Rate> rates) {
        DoubleSummaryStatistics messages = new DoubleSummaryStatistics();
        DoubleSummaryStatistics bytes = new DoubleSummaryStatistics();
        for (List<Figure> run : runs) {
            List<Figure> its = run.stream()
                    .filter(figure -> figure.role == role
                            && figure.direction == direction
                            && (kind == null || figure.kind == kind))
                    .toList();
            messages.accept(its.stream().mapToDouble(Figure::messagesPerSecond).sum());
            bytes.accept(its.stream().mapToDouble(Figure::bytesPerSecond).sum());
        }
        if (bytes.getMax() > 0) {
            rates.add(new Rate(
                    role, direction, kind, messages.getAverage(), bytes.getAverage(), bytes.getMin(), bytes.getMax()));
        }
    }

    /** The rates for a reader, a line for each role and direction. */
    public static String text(List<Rate> rates) {
        StringBuilder text = new StringBuilder();
        for (Rate rate : rates) {
            if (rate.kind == null) {
                text.append(text.isEmpty() ? "" : "\n")
                        .append(String.format(
                                Locale.ROOT,
                                "a %s %s %.1f messages/s, %.0f bytes/s (%.0f to %.0f):",
                                lower(rate.role),
                                lower(rate.direction),
                                rate.messagesPerSecond,
                                rate.bytesPerSecond,
                                rate.leastBytes,
                                rate.mostBytes));
            } else {
                text.append(String.format(
                        Locale.ROOT,
                        " %s %.1f/s %.0f B/s;",
                        lower(rate.kind),
                        rate.messagesPerSecond,
                        rate.bytesPerSecond));
            }
        }
        return text.toString();
    }

    private static String lower(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
