package barrowflow.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code java -jar barrowflow.jar adapter}. */
public final class AdapterMain {
    private AdapterMain() {}

    /** Exit status 0 at the end of input, 1 on a malformed frame, 2 on a wrong command line. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar barrowflow.jar adapter");
            System.exit(2);
        }
        try (var out = new FileOutputStream(FileDescriptor.out)) {
            new Adapter().run(new BufferedInputStream(System.in, 1 << 16), out);
        } catch (MalformedFrameException e) {
            System.err.println("barrowflow: " + e.getMessage());
            System.exit(1);
        }
    }
}
