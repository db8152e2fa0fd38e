package gorserill.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gorserill.common.MemoryBudget.Reservation;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which messages give way when the budget is exhausted. */
public class MemoryBudgetTest {
    private static final long LIMIT_BYTES = 100_000;
    private static final long SECOND_NANOS = 1_000_000_000;

    private long nowNanos;
    private MemoryBudget budget;
    private List<String> evicted;

    @BeforeMethod
    public void create() {
        nowNanos = 0;
        budget = new MemoryBudget(LIMIT_BYTES, () -> nowNanos);
        evicted = new ArrayList<>();
    }

    private Reservation incomplete(String name, long bytes) {
        Reservation reservation = budget.newReservation(() -> evicted.add(name));
        assertTrue(reservation.tryResize(bytes));
        return reservation;
    }

    @Test
    public void aReservationIsReleasedOnce() {
        Reservation reservation = incomplete("a", 10_000);
        reservation.release();
        reservation.release();
        assertEquals(budget.used(), 0);
        assertFalse(reservation.tryResize(1), "it is over");
    }

    /** Guards against clients that begin messages and keep out those that send theirs whole. */
    @Test
    public void incompleteMessagesGiveWayToACompleteOneOldestFirst() {
        incomplete("first", 50_000);
        incomplete("second", 50_000);
        assertTrue(budget.newReservation(() -> evicted.add("whole")).tryComplete(30_000));
        assertEquals(evicted, List.of("first"));
        assertEquals(budget.used(), 80_000);
    }

    @Test
    public void incompleteMessagesGiveWayToASmallOne() {
        incomplete("large", LIMIT_BYTES);
        incomplete("small", 1_000);
        assertEquals(evicted, List.of("large"));
    }

    @Test
    public void anIncompleteMessageTakesRoomOnlyFromThoseThatHaveStalled() {
        incomplete("first", 60_000);
        Reservation second = budget.newReservation(() -> evicted.add("second"));
        assertFalse(second.tryResize(60_000));
        assertEquals(evicted, List.of());
        nowNanos += SECOND_NANOS;
        assertTrue(second.tryResize(60_000));
        assertEquals(evicted, List.of("first"));
    }

    /** Guards against the refusal of the first of two messages that are read in turn, since it needs the last room. */
    @Test
    public void theYoungestGivesWayWhereNoneHasStalled() {
        Reservation first = incomplete("first", 40_000);
        incomplete("second", 30_000);
        incomplete("third", 30_000);
        assertTrue(first.tryResize(60_000));
        assertEquals(evicted, List.of("third"));
        nowNanos += SECOND_NANOS;
        incomplete("fourth", 10_000);
        assertFalse(first.tryResize(LIMIT_BYTES), "it has stalled itself");
    }

    @Test
    public void nothingIsEvictedInVain() {
        assertTrue(budget.newReservation(() -> evicted.add("whole")).tryComplete(50_000));
        incomplete("half", 40_000);
        assertFalse(budget.newReservation(() -> evicted.add("next")).tryComplete(60_000));
        assertEquals(evicted, List.of());
    }

    @Test
    public void completeMessagesNeverGiveWay() {
        assertTrue(budget.newReservation(() -> evicted.add("whole")).tryComplete(LIMIT_BYTES));
        nowNanos += SECOND_NANOS;
        Reservation next = budget.newReservation(() -> evicted.add("next"));
        assertFalse(next.tryComplete(1));
        assertEquals(evicted, List.of());
        assertEquals(budget.used(), LIMIT_BYTES);
    }
}
