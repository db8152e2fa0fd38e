package gorserill.contract.read;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * The files from which a description was read, in the order of reading, and their fingerprint.
 *
 * @param files real paths; the first is the description's own file
 * @param fingerprint SHA-256 of names and contents, in hexadecimal
 */
public record SourceFiles(List<Path> files, String fingerprint) {
    /** Whether a description read from this file now would have the same text, references included. */
    public boolean stillDescribe(Path file) {
        try {
            return file.toRealPath().equals(files.get(0))
                    && fingerprintOf(files).equals(fingerprint);
        } catch (IOException e) {
            return false;
        }
    }

    private static String fingerprintOf(List<Path> files) throws IOException {
        Path folder = files.get(0).getParent();
        MessageDigest digest = newDigest();
        for (Path file : files) {
            if (Files.size(file) > DocumentReader.MAX_FILE) {
                throw new IOException(file + " is too large to be read");
            }
            update(digest, folder, file, Files.readAllBytes(file));
        }
        return format(digest);
    }

    static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds a file's name and contents to the digest. */
    static void update(MessageDigest digest, Path folder, Path file, byte[] contents) {
        String name = folder.relativize(file).toString();
        digest.update((name.length() + name + contents.length).getBytes(StandardCharsets.UTF_8));
        digest.update(contents);
    }

    static String format(MessageDigest digest) {
        return HexFormat.of().formatHex(digest.digest());
    }
}
