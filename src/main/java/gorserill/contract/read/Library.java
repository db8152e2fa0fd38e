package gorserill.contract.read;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A description's file and those beside it that it refers to. Danger: whoever writes a description must not
 * be able to read other files of the machine by it, so nothing above its folder is opened, links included,
 * and nothing is ever fetched over a network.
 */
public final class Library {
    private static final int MAX_FILES = 256;
    /** A file's text is held as bytes and as characters of one or two bytes. */
    private static final int BYTES_IN_MEMORY_PER_BYTE = 3;

    private final Path root;
    private final Path folder;
    private final Faults faults;
    /** By real path; a file that can't be read is kept as null, so that it is told once. */
    private final Map<Path, Document> documents = new LinkedHashMap<>();

    /** A file of the description, read. */
    static final class Document {
        private final Library library;
        private final String name;
        private final Path path;
        private final Value root;
        /** JSON Schema's plain-name fragments ({@code $anchor}); made when first asked for. */
        private Map<String, String> anchors;

        private Document(Library library, String name, Path path, Value root) {
            this.library = library;
            this.name = name;
            this.path = path;
            this.root = root;
        }

        String name() {
            return name;
        }

        Value root() {
            return root;
        }

        Library library() {
            return library;
        }

        private String anchored(String anchor) {
            if (anchors == null) {
                anchors = new HashMap<>();
                gather(root, "");
            }
            return anchors.get(anchor);
        }

        private void gather(Value value, String pointer) {
            Value anchor = value.get("$anchor");
            if (anchor != null && anchor.is(Value.Kind.TEXT)) {
                anchors.putIfAbsent(anchor.text(), pointer);
            }
            value.members().forEach((name, member) -> gather(member, pointer + "/" + Pointers.escape(name)));
            for (int i = 0; i < value.items().size(); i++) {
                gather(value.items().get(i), pointer + "/" + i);
            }
        }
    }

    private final MessageDigest text = SourceFiles.newDigest();
    private final List<Path> filesRead = new ArrayList<>();
    private final Headroom headroom;
    /** Of all files so far. Danger: each of many small references could name a large file. */
    private long bytes;

    private Library(Path root, Path folder, Faults faults, Headroom headroom) {
        this.headroom = headroom;
        this.root = root;
        this.folder = folder;
        this.faults = faults;
    }

    /**
     * Opens a description; null where it can't be read, of which the faults tell.
     *
     * @param headroom bounds the memory that reading takes
     */
    public static Spot open(Path file, Faults faults, Headroom headroom) {
        try {
            Path real = file.toRealPath();
            Library library = new Library(real, real.getParent(), faults, headroom);
            Document document = library.load(real, file.toString());
            return document == null ? null : new Spot(document, document.root, "");
        } catch (IOException e) {
            faults.error(Place.file(file.toString()), reason(e), "name a file that can be read");
            return null;
        }
    }

    private static String reason(IOException e) {
        return e instanceof NoSuchFileException ? "there is no such file" : "can't be read: " + e.getMessage();
    }

    /** The files that were read so far. */
    SourceFiles sourceFiles() {
        try {
            return new SourceFiles(List.copyOf(filesRead), SourceFiles.format((MessageDigest) text.clone()));
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    Headroom headroom() {
        return headroom;
    }

    Faults faults() {
        return faults;
    }

    private Document load(Path real, String name) throws IOException {
        if (documents.containsKey(real)) {
            return documents.get(real);
        }
        documents.put(real, null);
        bytes += Files.size(real);
        if (bytes > DocumentReader.MAX_FILE) {
            faults.error(
                    Place.file(name),
                    "the description has " + bytes + " bytes with this file",
                    "keep it under " + DocumentReader.MAX_FILE);
            return null;
        }
        headroom.require(BYTES_IN_MEMORY_PER_BYTE * Files.size(real));
        byte[] read = Files.readAllBytes(real);
        filesRead.add(real);
        SourceFiles.update(text, folder, real, read);
        Value value = DocumentReader.read(name, read, faults, headroom);
        Document document = value == null ? null : new Document(this, name, real, value);
        documents.put(real, document);
        return document;
    }

    /** What a reference names; null where it names nothing, of which the faults then tell. */
    Spot follow(Spot from, Value reference) {
        String text = reference.text();
        Place place = from.placeOf(reference, "$ref");
        int hash = text.indexOf('#');
        String file = hash < 0 ? text : text.substring(0, hash);
        String fragment = hash < 0 ? "" : Pointers.ofFragment(text.substring(hash + 1));
        Document document = file.isEmpty() ? from.document() : beside(from.document(), file, place);
        if (document == null) {
            return null;
        }
        String pointer = fragment.isEmpty() || fragment.startsWith("/") ? fragment : document.anchored(fragment);
        Value value = pointer == null ? null : Pointers.find(document.root, pointer);
        if (value == null) {
            faults.error(
                    place,
                    "$ref '" + text + "' names nothing in " + document.name,
                    "define it there, or correct the pointer");
            return null;
        }
        return new Spot(document, value, pointer);
    }

    private Document beside(Document from, String file, Place place) {
        if (file.matches("[A-Za-z][A-Za-z0-9+.-]*:.*") || file.startsWith("//")) {
            faults.error(
                    place,
                    "$ref '" + file + "' leads over a network or to another root",
                    "keep a copy beside the description and refer to that");
            return null;
        }
        if (documents.size() >= MAX_FILES) {
            faults.error(place, "the description has more than " + MAX_FILES + " files", "join some of them");
            return null;
        }
        try {
            Path asked = from.path.resolveSibling(Pointers.ofFragment(file)).normalize();
            // Asked before the file is touched, so that nothing above can be told to exist or not.
            Path real = asked.startsWith(folder) ? asked.toRealPath() : null;
            if (real == null || !real.startsWith(folder)) {
                faults.error(
                        place,
                        "$ref '" + file + "' leads out of the description's folder",
                        "move the file into the folder of " + root.getFileName());
                return null;
            }
            return load(real, folder.relativize(real).toString());
        } catch (IOException | java.nio.file.InvalidPathException e) {
            faults.error(
                    place,
                    "$ref '" + file + "': " + (e instanceof IOException io ? reason(io) : e.getMessage()),
                    "correct the file's name");
            return null;
        }
    }
}
