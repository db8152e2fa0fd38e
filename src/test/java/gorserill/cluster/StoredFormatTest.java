package gorserill.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Log entries and snapshots are stored and sent under the names of Java fields and record components. A voter
 * that reads another name takes the value as missing, with no error, and its register falls behind the others.
 * The resources were written by an earlier build; this one must read them and write the same text.
 */
public class StoredFormatTest {
    private static String stored(String name) throws IOException {
        try (InputStream in = StoredFormatTest.class.getResourceAsStream("/cluster/stored/" + name)) {
            assertNotNull(in, name);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static List<String> entries() throws IOException {
        return stored("log-entries.jsonl").lines().toList();
    }

    @Test
    public void eachKindOfEntryIsReadAndWrittenAsBefore() throws IOException {
        Set<String> kinds = new TreeSet<>();
        for (String text : entries()) {
            Entry entry = Register.entry(text);
            kinds.add(entry.getClass().getName());
            assertEquals(Register.text(entry), text);
        }
        assertEquals(kinds, kindsOf(Entry.class), "an entry of every kind is stored");
    }

    private static Set<String> kindsOf(Class<?> type) {
        if (!type.isSealed()) {
            return Set.of(type.getName());
        }
        Set<String> kinds = new TreeSet<>();
        for (Class<?> permitted : type.getPermittedSubclasses()) {
            kinds.addAll(kindsOf(permitted));
        }
        return kinds;
    }

    @Test
    public void aSnapshotIsReadAndWrittenAsBefore() throws IOException {
        String snapshot = stored("snapshot.json").strip();
        Register register = new Register(Set.of());
        register.restore(snapshot);
        assertEquals(register.snapshot(), snapshot);
    }

    @Test
    public void theStoredEntriesGiveTheStoredSnapshot() throws IOException {
        Register register = new Register(Set.of());
        long index = 0;
        for (String text : entries()) {
            register.apply(++index, text);
        }
        assertEquals(register.snapshot(), stored("snapshot.json").strip());
    }
}
