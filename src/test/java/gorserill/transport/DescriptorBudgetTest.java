package gorserill.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gorserill.common.Loop;
import gorserill.common.SiblingProcesses;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Two processes of a node that share one budget. */
public class DescriptorBudgetTest {
    @Test
    public void descriptorsHeldByAnotherProcessAreNotAvailable() throws Exception {
        Path folder = Files.createTempDirectory("descriptors");
        Loop loop = new Loop(e -> {});
        DescriptorBudget old = new DescriptorBudget(16, 9, SiblingProcesses.join(loop, folder, "node", 2));
        for (int i = 0; i < 5; i++) {
            assertTrue(old.tryAcquire());
        }
        DescriptorBudget next = new DescriptorBudget(16, 9, SiblingProcesses.join(loop, folder, "node", 2));
        for (int i = 0; i < 9; i++) {
            assertTrue(next.tryAcquire(), "16 less 5 in use and 2 reserved by the other process, at " + i);
        }
        assertFalse(next.tryAcquire());
        assertTrue(next.isNearLimit());
        old.release();
        assertTrue(next.tryAcquire());
        assertEquals(next.inUse(), 10);
    }
}
