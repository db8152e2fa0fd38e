package gorserill.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What the processes of one node know of each other. */
public class SiblingProcessesTest {
    private static final int OWN = 64;

    private final long[] nanos = new long[1];
    private final Loop loop = new Loop(e -> {}, () -> nanos[0]);
    private Path folder;

    @BeforeMethod
    public void anew() throws IOException {
        folder = Files.createTempDirectory("siblings");
    }

    private SiblingProcesses join() throws IOException {
        return SiblingProcesses.join(loop, folder, "node", OWN);
    }

    /** Lets each look who else is there. */
    private void look() {
        nanos[0] += 300_000_000L;
        loop.runDue();
    }

    @Test
    public void eachSeesWhatTheOtherHolds() throws IOException {
        SiblingProcesses first = join();
        assertTrue(first.isAlone());
        assertEquals(first.descriptorsElsewhere(), 0);
        first.reportConnections(7);
        first.requestOpened("a-1");
        SiblingProcesses second = join();
        assertEquals(second.descriptorsElsewhere(), 7 + OWN);
        assertTrue(second.isOpenElsewhere("a-1"));
        assertFalse(second.isOpenElsewhere("a-2"));
        look();
        assertFalse(first.isAlone());
        assertEquals(first.descriptorsElsewhere(), OWN);
        second.reportConnections(3);
        second.requestOpened("a-2");
        assertEquals(first.descriptorsElsewhere(), 3 + OWN);
        assertTrue(first.isOpenElsewhere("a-2"));
        assertFalse(first.isOpenElsewhere("a-1"), "it is its own");
        first.requestClosed("a-1");
        assertFalse(second.isOpenElsewhere("a-1"));
    }

    @Test
    public void moreOpenRequestsThanThereIsRoomForDoNoHarm() throws IOException {
        SiblingProcesses first = join();
        for (int i = 0; i < 1_500; i++) {
            first.requestOpened("a-" + i);
        }
        SiblingProcesses second = join();
        assertTrue(second.isOpenElsewhere("a-1022"));
        assertFalse(second.isOpenElsewhere("a-1023"));
        for (int i = 0; i < 1_500; i++) {
            first.requestClosed("a-" + i);
        }
        first.requestOpened("a-1400");
        assertTrue(second.isOpenElsewhere("a-1400"));
        assertFalse(second.isOpenElsewhere("a-1022"));
    }

    /** Danger: what a dead process has left would use up the limits for good. */
    @Test
    public void whatTheDeadLeaveCountsForNothing() throws IOException {
        byte[] remains = new byte[8_192];
        Arrays.fill(remains, (byte) 1);
        for (String place : List.of("node.0", "node.1", "node.2")) {
            Files.write(folder.resolve(place), remains);
        }
        SiblingProcesses first = join();
        assertTrue(first.isAlone());
        assertEquals(first.descriptorsElsewhere(), 0);
        SiblingProcesses second = join();
        assertEquals(second.descriptorsElsewhere(), OWN);
        assertFalse(second.isOpenElsewhere("a-1"));
    }

    /**
     * Danger: a process out of descriptors can't open a sibling's place; if it took that sibling for gone it
     * would take an id that is open there, and a job that must run once could run twice.
     */
    @Test
    public void aSiblingThatCantBeSeenForAWhileStillCounts() throws IOException {
        SiblingProcesses first = join();
        first.reportConnections(5);
        first.requestOpened("a-1");
        SiblingProcesses second = join();
        Path place = folder.resolve("node.0");
        Path away = folder.resolve("node.0.away");
        Files.move(place, away);
        Files.createDirectory(place);
        look();
        assertTrue(second.isOpenElsewhere("a-1"), "a sibling that can't be seen was taken for gone");
        assertEquals(second.descriptorsElsewhere(), 5 + OWN);
        Files.delete(place);
        Files.move(away, place);
        first.requestClosed("a-1");
        look();
        assertFalse(second.isOpenElsewhere("a-1"));
        assertFalse(second.isAlone());
    }

    @Test
    public void thereIsNoFourthPlace() throws IOException {
        for (int i = 0; i < 3; i++) {
            join();
        }
        expectThrows(IOException.class, this::join);
        assertEquals(SiblingProcesses.none().descriptorsElsewhere(), 0);
        assertFalse(SiblingProcesses.none().isOpenElsewhere("a-1"));
    }
}
