package barrowflow.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Entry point of the simulator adapter: {@code java -jar barrowflow.jar adapter}. Uses stdin and stdout. */
public final class AdapterMain {
    private AdapterMain() {}

    /** Exits with status 0 at the end of input, 1 on a malformed frame and 2 on invalid arguments. */
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
