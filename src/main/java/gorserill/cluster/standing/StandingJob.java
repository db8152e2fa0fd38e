package gorserill.cluster.standing;

import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;

/**
 * A job that the cluster runs at scheduled times. The occurrences are numbered: consecutive intervals since the
 * Unix epoch, or days since then.
 *
 * @param name of the piece of work whose owner runs the job
 * @param jobClass the name of the class
 * @param body the request body that is sent to a worker
 * @param intervalMs milliseconds between two occurrences; 0 where a time of day is set
 * @param timeOfDay in {@code zone}; null where an interval is set
 * @param missedPolicy what happens to occurrences that passed while no node could run them
 * @param latenessLimitMs milliseconds after which an occurrence that has not been claimed counts as missed
 * @param repeatable whether the class allows an occurrence of unknown outcome to run again
 */
public record StandingJob(
        String name,
        String jobClass,
        String body,
        long intervalMs,
        LocalTime timeOfDay,
        ZoneId zone,
        MissedPolicy missedPolicy,
        long latenessLimitMs,
        boolean repeatable) {
    /** Which missed occurrences are run late: none, the last one, or all of them with the oldest first. */
    public enum MissedPolicy {
        SKIP,
        LAST,
        ALL
    }

    /** Returns the number of the latest occurrence at or before {@code now}, in Unix milliseconds. */
    public long occurrenceAt(long now) {
        if (timeOfDay == null) {
            return Math.floorDiv(now, intervalMs);
        }
        ZonedDateTime local = Instant.ofEpochMilli(now).atZone(zone);
        long day = local.toLocalDate().toEpochDay();
        // On the day that clocks go forward, the time of day may not exist. The occurrence is then moved by the
        // length of the gap.
        return timeOf(day) <= now ? day : day - 1;
    }

    /** Returns when the occurrence with this number is due, in Unix milliseconds. */
    public long timeOf(long number) {
        return timeOfDay == null
                ? number * intervalMs
                : java.time.LocalDate.ofEpochDay(number)
                        .atTime(timeOfDay)
                        .atZone(zone)
                        .toInstant()
                        .toEpochMilli();
    }
}
