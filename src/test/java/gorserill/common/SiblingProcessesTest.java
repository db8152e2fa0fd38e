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

/** Tests the state that the processes of one node share. */
public class SiblingProcessesTest {
    private static final int RESERVED = 64;

    private final long[] nanos = new long[1];
    private final Loop loop = new Loop(e -> {}, () -> nanos[0]);
    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("siblings");
    }

    private SiblingProcesses join() throws IOException {
        return SiblingProcesses.join(loop, folder, "node", RESERVED);
    }

    /** Runs the periodic refresh of each process. */
    private void refresh() {
        nanos[0] += 300_000_000L;
        loop.runDue();
    }

    @Test
    public void eachProcessSeesTheStateOfTheOther() throws IOException {
        SiblingProcesses first = join();
        assertTrue(first.isAlone());
        assertEquals(first.descriptorsElsewhere(), 0);
        first.reportConnections(7);
        first.requestOpened("a-1");
        SiblingProcesses second = join();
        assertEquals(second.descriptorsElsewhere(), 7 + RESERVED);
        assertTrue(second.isOpenElsewhere("a-1"));
        assertFalse(second.isOpenElsewhere("a-2"));
        refresh();
        assertFalse(first.isAlone());
        assertEquals(first.descriptorsElsewhere(), RESERVED);
        second.reportConnections(3);
        second.requestOpened("a-2");
        assertEquals(first.descriptorsElsewhere(), 3 + RESERVED);
        assertTrue(first.isOpenElsewhere("a-2"));
        assertFalse(first.isOpenElsewhere("a-1"), "the request is open in the same process");
        first.requestClosed("a-1");
        assertFalse(second.isOpenElsewhere("a-1"));
    }

    @Test
    public void requestsBeyondTheTableAreIgnored() throws IOException {
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

    /** Entries left by a dead process must not count, or they would permanently use up the limits. */
    @Test
    public void stateOfDeadProcessesIsIgnored() throws IOException {
        byte[] remains = new byte[8_192];
        Arrays.fill(remains, (byte) 1);
        for (String file : List.of("node.0", "node.1", "node.2")) {
            Files.write(folder.resolve(file), remains);
        }
        SiblingProcesses first = join();
        assertTrue(first.isAlone());
        assertEquals(first.descriptorsElsewhere(), 0);
        SiblingProcesses second = join();
        assertEquals(second.descriptorsElsewhere(), RESERVED);
        assertFalse(second.isOpenElsewhere("a-1"));
    }

    /**
     * A process out of descriptors can't open the slot file of a sibling. If it treated that sibling as gone, it
     * would accept a request id that is open there, and a job that must run once could run twice.
     */
    @Test
    public void siblingWithUnreadableFileStillCounts() throws IOException {
        SiblingProcesses first = join();
        first.reportConnections(5);
        first.requestOpened("a-1");
        SiblingProcesses second = join();
        Path file = folder.resolve("node.0");
        Path away = folder.resolve("node.0.away");
        Files.move(file, away);
        Files.createDirectory(file);
        refresh();
        assertTrue(second.isOpenElsewhere("a-1"), "a live sibling whose file cannot be opened was treated as gone");
        assertEquals(second.descriptorsElsewhere(), 5 + RESERVED);
        Files.delete(file);
        Files.move(away, file);
        first.requestClosed("a-1");
        refresh();
        assertFalse(second.isOpenElsewhere("a-1"));
        assertFalse(second.isAlone());
    }

    @Test
    public void aFourthProcessIsRejected() throws IOException {
        for (int i = 0; i < 3; i++) {
            join();
        }
        expectThrows(IOException.class, this::join);
        assertEquals(SiblingProcesses.none().descriptorsElsewhere(), 0);
        assertFalse(SiblingProcesses.none().isOpenElsewhere("a-1"));
    }
}
