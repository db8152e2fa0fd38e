package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What is kept of operators' bans, and for whom. */
public class BansTest {
    private Path folder;

    @BeforeMethod
    public void anew() throws IOException {
        folder = Files.createTempDirectory("bans");
    }

    /** Danger: a ban that can't be written, on a full disk say, is told as such and leaves nothing behind. */
    @Test
    public void aBanThatCantBeWrittenLeavesNothingAndChangesNothing() throws IOException {
        Bans first = new Bans(folder, "n1");
        first.set("s-1", true);
        Path file = folder.resolve(NodeConfig.fileKey("n1") + ".bans");
        Files.delete(file);
        Path inTheWay = Files.createDirectories(file.resolve("in the way"));
        for (int i = 0; i < 3; i++) {
            expectThrows(IOException.class, () -> first.set("s-2", true));
        }
        assertEquals(first.names(), Set.of("s-1"));
        try (Stream<Path> all = Files.list(folder)) {
            assertEquals(
                    all.map(p -> p.getFileName().toString()).sorted().toList(),
                    List.of(file.getFileName() + "", file.getFileName() + ".lock"));
        }
        Files.delete(inTheWay);
        Files.delete(file);
        first.set("s-2", true);
        assertEquals(new Bans(folder, "n1").names(), Set.of("s-2"));
    }

    @Test
    public void bansOutlastTheProcessAndEndWithOneCall() throws IOException {
        Bans first = new Bans(folder, "n1");
        first.set("s-1", true);
        first.set("s-1", true);
        first.set("s-2", true);
        assertEquals(new Bans(folder, "n1").names(), Set.of("s-1", "s-2"));
        first.set("s-1", false);
        assertEquals(new Bans(folder, "n1").names(), Set.of("s-2"));
    }

    /** Danger: each process changes what both have said, not only what it knew itself. */
    @Test
    public void aCallToEitherProcessBindsBoth() throws IOException {
        Bans first = new Bans(folder, "n1");
        Bans second = new Bans(folder, "n1");
        first.set("s-1", true);
        second.set("s-2", true);
        assertEquals(first.refresh(), Set.of("s-2"));
        assertEquals(first.refresh(), Set.of());
        assertTrue(first.contains("s-2"));
        second.set("s-1", false);
        assertEquals(first.refresh(), Set.of("s-1"));
        assertFalse(first.contains("s-1"));
    }

    @Test
    public void aFileThatIsTornOrAnotherNodesBansNobody() throws IOException {
        new Bans(folder, "n1").set("s-1", true);
        Path file = only("*.bans");
        String whole = Files.readString(file);
        for (int length = 0; length < whole.length() - 1; length++) {
            Files.writeString(file, whole.substring(0, length));
            assertEquals(new Bans(folder, "n1").names(), Set.of(), whole.substring(0, length));
        }
        Files.writeString(file, whole.replace("n1", "n2"));
        assertEquals(new Bans(folder, "n1").names(), Set.of());
        Files.write(file, new byte[] {(byte) 0xc3, 0x28, 0});
        Bans bans = new Bans(folder, "n1");
        assertEquals(bans.names(), Set.of());
        bans.set("s-3", true);
        assertEquals(new Bans(folder, "n1").names(), Set.of("s-3"));
    }

    @Test
    public void withoutAFolderBansEndWithTheProcess() throws IOException {
        Bans bans = new Bans(null, "n1");
        bans.set("s-1", true);
        assertTrue(bans.contains("s-1"));
        assertEquals(bans.refresh(), Set.of());
        assertFalse(new Bans(null, "n1").contains("s-1"));
    }

    @Test(expectedExceptions = IOException.class)
    public void aFolderThatIsNotThereIsTold() throws IOException {
        new Bans(folder.resolve("none"), "n1").set("s-1", true);
    }

    private Path only(String pattern) throws IOException {
        try (DirectoryStream<Path> found = Files.newDirectoryStream(folder, pattern)) {
            List<Path> all = new ArrayList<>();
            found.forEach(all::add);
            assertEquals(all.size(), 1);
            return all.get(0);
        }
    }
}
