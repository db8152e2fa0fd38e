package gorserill.program;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The workers that operators have taken out, by name, in a file that outlasts the process and binds whichever
 * processes of the node run beside it.
 */
final class Bans {
    private static final Logger LOG = Logger.getLogger(Bans.class.getName());

    private final String title;
    private final Path file;
    private final Path lock;
    private Set<String> names = new TreeSet<>();
    /** Tells one state of the file from another. */
    private Object seen = "";

    /** @param folder where the file is kept; null for nowhere: then bans end with the process */
    Bans(Path folder, String node) {
        title = "bans of " + node.lines().findFirst().orElse("");
        String key = NodeConfig.fileKey(node) + ".bans";
        file = folder == null ? null : folder.resolve(key);
        lock = folder == null ? null : folder.resolve(key + ".lock");
        refresh();
    }

    boolean contains(String name) {
        return names.contains(name);
    }

    Set<String> names() {
        return Set.copyOf(names);
    }

    /** Bans or frees a worker, for all processes of the node; the file is in place when this returns. */
    void set(String name, boolean banned) throws IOException {
        if (file == null) {
            change(names, name, banned);
            return;
        }
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock held = channel.lock()) {
            Set<String> changed = new TreeSet<>(read());
            change(changed, name, banned);
            List<String> lines = new ArrayList<>(changed);
            lines.add(0, title);
            lines.add("end " + changed.size());
            // Danger: a process killed here must not leave half a file in its place.
            Path fresh =
                    Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
            try {
                Files.write(fresh, lines);
                Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                // A write that failed, on a full disk say, leaves nothing behind.
                Files.deleteIfExists(fresh);
            }
            names = changed;
            seen = state();
        }
    }

    private static void change(Set<String> names, String name, boolean banned) {
        if (banned) {
            names.add(name);
        } else {
            names.remove(name);
        }
    }

    /** Reads the file again, if it is another one than before; gives whose ban has changed. */
    Set<String> refresh() {
        Object now = file == null ? seen : state();
        if (now.equals(seen)) {
            return Set.of();
        }
        seen = now;
        Set<String> changed = new TreeSet<>(names);
        Set<String> fresh = read();
        changed.removeAll(fresh);
        for (String name : fresh) {
            if (!names.contains(name)) {
                changed.add(name);
            }
        }
        names = fresh;
        return changed;
    }

    private Object state() {
        try {
            BasicFileAttributes its = Files.readAttributes(file, BasicFileAttributes.class);
            return its.fileKey() + " " + its.lastModifiedTime() + " " + its.size();
        } catch (IOException e) {
            return "";
        }
    }

    /** What the file says; nobody where it is not whole, or not this node's. */
    private Set<String> read() {
        try {
            List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
            int last = lines.size() - 1;
            if (last > 0 && lines.get(0).equals(title) && lines.get(last).equals("end " + (last - 1))) {
                return new TreeSet<>(lines.subList(1, last));
            }
            LOG.log(Level.WARNING, "{0} is torn, or another node''s; it bans nobody", file);
        } catch (NoSuchFileException e) {
            // Nobody has been banned yet.
        } catch (IOException e) {
            LOG.log(Level.WARNING, "{0} can''t be read; it bans nobody: {1}", new Object[] {file, e});
        }
        return new TreeSet<>();
    }
}
