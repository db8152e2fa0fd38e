package gorserill.protocol.http;

import java.util.List;

/** The operations that a description of the HTTP front names. */
public final class Operations {
    /**
     * An operation.
     *
     * @param path a template, whose parts in braces stand for any one part
     * @param jobClass the class of the jobs that it submits; null where it submits none
     */
    public record Operation(String method, String path, String jobClass) {
        private boolean fits(String asked) {
            String[] mine = path.split("/", -1);
            String[] theirs = asked.split("/", -1);
            boolean fits = mine.length == theirs.length;
            for (int i = 0; fits && i < mine.length; i++) {
                boolean any = mine[i].startsWith("{") && mine[i].endsWith("}");
                fits = any ? !theirs[i].isEmpty() : mine[i].equals(theirs[i]);
            }
            return fits;
        }
    }

    private final List<Operation> operations;

    public Operations(List<Operation> operations) {
        this.operations = List.copyOf(operations);
    }

    /** Whether there is an operation at the path, of whichever method. */
    boolean knows(String path) {
        return operations.stream().anyMatch(o -> o.fits(path));
    }

    /** The operation for a method and path, or null; one without templates goes first. */
    Operation find(String method, String path) {
        Operation found = null;
        for (Operation o : operations) {
            if (o.method().equals(method) && o.fits(path) && (found == null || o.path().equals(path))) {
                found = o;
            }
        }
        return found;
    }
}
