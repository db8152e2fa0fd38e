package gorserill.cluster.lab;

import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Counts the messages that nodes of each role send and receive, by kind, over the steady part of a run. Rates
 * are per node of a role and second.
 */
public final class Traffic {
    /** A node's role at the time of a message. */
    public enum Role {
        PLAIN,
        VOTER,
        LEADER
    }

    /** The direction of a message, as seen from the node. */
    public enum Direction {
        SENT,
        RECEIVED
    }

    /** The rate of one kind of message at a node of a role, over one run. */
    public record Figure(
            Role role, Direction direction, MessageKind kind, double messagesPerSecond, double bytesPerSecond) {}

    /** The mean rate over several runs, with the lowest and highest bytes a second of any run. */
    public record Rate(
            Role role,
            Direction direction,
            MessageKind kind,
            double messagesPerSecond,
            double bytesPerSecond,
            double leastBytes,
            double mostBytes) {}

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final int KINDS = MessageKind.values().length;

    private final long[] messages = new long[Role.values().length * Direction.values().length * KINDS];
    private final long[] bytes = new long[messages.length];
    private final Map<Role, Long> nodeMillis = new EnumMap<>(Role.class);

    /** Counts a message that a node of the role sent or received. */
    public void count(Role role, Direction direction, MessageKind kind, int length) {
        int index = index(role, direction, kind);
        messages[index]++;
        bytes[index] += length;
    }

    private static int index(Role role, Direction direction, MessageKind kind) {
        return (role.ordinal() * Direction.values().length + direction.ordinal()) * KINDS + kind.ordinal();
    }

    /** Adds the time for which a node had a role. */
    public void addRoleTime(Role role, long millis) {
        nodeMillis.merge(role, millis, Long::sum);
    }

    /** Returns the rates by role, direction and kind, without those of kinds that did not occur. */
    public List<Figure> figures() {
        List<Figure> figures = new ArrayList<>();
        for (Role role : Role.values()) {
            double seconds = nodeMillis.getOrDefault(role, 0L) / MILLIS_PER_SECOND;
            for (Direction direction : Direction.values()) {
                for (MessageKind kind : MessageKind.values()) {
                    int index = index(role, direction, kind);
                    if (messages[index] > 0 && seconds > 0) {
                        figures.add(
                                new Figure(role, direction, kind, messages[index] / seconds, bytes[index] / seconds));
                    }
                }
            }
        }
        return figures;
    }

    /** Returns the rates over several runs; the sum over all kinds comes first, with a null {@code kind}. */
    public static List<Rate> rates(List<List<Figure>> runs) {
        List<Rate> rates = new ArrayList<>();
        for (Role role : Role.values()) {
            for (Direction direction : Direction.values()) {
                addRate(runs, role, direction, null, rates);
                for (MessageKind kind : MessageKind.values()) {
                    addRate(runs, role, direction, kind, rates);
                }
            }
        }
        return rates;
    }

    private static void addRate(
            List<List<Figure>> runs, Role role, Direction direction, MessageKind kind, List<Rate> rates) {
        DoubleSummaryStatistics messages = new DoubleSummaryStatistics();
        DoubleSummaryStatistics bytes = new DoubleSummaryStatistics();
        for (List<Figure> run : runs) {
            List<Figure> matching = run.stream()
                    .filter(figure -> figure.role == role
                            && figure.direction == direction
                            && (kind == null || figure.kind == kind))
                    .toList();
            messages.accept(
                    matching.stream().mapToDouble(Figure::messagesPerSecond).sum());
            bytes.accept(matching.stream().mapToDouble(Figure::bytesPerSecond).sum());
        }
        if (bytes.getMax() > 0) {
            rates.add(new Rate(
                    role, direction, kind, messages.getAverage(), bytes.getAverage(), bytes.getMin(), bytes.getMax()));
        }
    }

    /** Formats the rates as text, with a line for each role and direction. */
    public static String text(List<Rate> rates) {
        StringBuilder text = new StringBuilder();
        for (Rate rate : rates) {
            if (rate.kind == null) {
                text.append(text.isEmpty() ? "" : "\n")
                        .append(String.format(
                                Locale.ROOT,
                                "a %s %s %.1f messages/s, %.0f bytes/s (%.0f to %.0f):",
                                lowerCase(rate.role),
                                lowerCase(rate.direction),
                                rate.messagesPerSecond,
                                rate.bytesPerSecond,
                                rate.leastBytes,
                                rate.mostBytes));
            } else {
                text.append(String.format(
                        Locale.ROOT,
                        " %s %.1f/s %.0f B/s;",
                        lowerCase(rate.kind),
                        rate.messagesPerSecond,
                        rate.bytesPerSecond));
            }
        }
        return text.toString();
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
