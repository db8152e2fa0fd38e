package gorserill.contract.read;

/**
 * Where in a description something stands.
 *
 * @param file as the reader was told it, or relative to the description's folder
 * @param line from 1; 0 where the file as a whole is meant
 * @param column from 1
 * @param pointer JSON Pointer (RFC 6901), empty for the whole document
 */
public record Place(String file, int line, int column, String pointer) {
    /** The file as a whole. */
    public static Place file(String file) {
        return new Place(file, 0, 0, "");
    }

    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line + ":" + column : "") + (pointer.isEmpty() ? "" : " #" + pointer);
    }
}
