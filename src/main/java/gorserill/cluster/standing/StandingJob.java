package gorserill.cluster.standing;

import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;

/**
 * A job of the fleet at set times, which are numbered.
 *
 * @param name of the piece of work that it is
 * @param jobClass the class's name
 * @param body what workers are sent
 * @param intervalMs milliseconds between two times; 0 where it is a time of day
 * @param timeOfDay the time of day, in {@code zone}; null where it comes at intervals
 * @param missedPolicy what becomes of times that passed while nobody could act
 * @param latenessLimitMs milliseconds after which a time that was not acted on counts as missed
 * @param repeatable whether an act of unknown end may be done once more: its class allows it
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
    /** SKIP: they are left out. LAST: the last of them is made up for. ALL: each, the oldest first. */
    public enum MissedPolicy {
        SKIP,
        LAST,
        ALL
    }

    /** The number of the last time that is not after this moment, Unix milliseconds. */
    public long occurrenceAt(long now) {
        if (timeOfDay == null) {
            return Math.floorDiv(now, intervalMs);
        }
        ZonedDateTime here = Instant.ofEpochMilli(now).atZone(zone);
        long day = here.toLocalDate().toEpochDay();
        // Danger: on the day that clocks are put forward the time may not be there; it then is the next there
        // is.
        return timeOf(day) <= now ? day : day - 1;
    }

    /** When a time of that number is, Unix milliseconds. */
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
