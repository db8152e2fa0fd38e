package gorserill.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gorserill.common.Loop;
import gorserill.common.SiblingProcesses;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Two processes of a node, one budget. */
public class DescriptorsTest {
    @Test
    public void whatAnotherProcessHoldsIsNotLeftHere() throws Exception {
        Path folder = Files.createTempDirectory("descriptors");
        Loop loop = new Loop(e -> {});
        Descriptors old = new Descriptors(16, 9, SiblingProcesses.join(loop, folder, "node", 2));
        for (int i = 0; i < 5; i++) {
            assertTrue(old.open());
        }
        Descriptors next = new Descriptors(16, 9, SiblingProcesses.join(loop, folder, "node", 2));
        for (int i = 0; i < 9; i++) {
            assertTrue(next.open(), "16 less 5 and the other's own 2, at " + i);
        }
        assertFalse(next.open());
        assertTrue(next.crowded());
        old.closed();
        assertTrue(next.open());
        assertEquals(next.inUse(), 10);
    }
}
