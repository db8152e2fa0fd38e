package gorserill.program.scale;

import java.net.InetSocketAddress;

/** What a process of hollow workers tells the run, a line each. */
sealed interface WorkerMessage {
    /** A worker listens there, at its start or once more. */
    record Listening(int worker, InetSocketAddress at) implements WorkerMessage {
        @Override
        public String line() {
            return "listening " + worker + " " + at.getAddress().getHostAddress() + " " + at.getPort();
        }
    }

    /** A job's last byte reached a worker, at a moment of Unix time. */
    record Ran(String id, int worker, long at) implements WorkerMessage {
        @Override
        public String line() {
            return "ran " + id + " " + worker + " " + at;
        }
    }

    /** Bytes that came in and went out so far, all workers of the process together. */
    record Traffic(long in, long out) implements WorkerMessage {
        @Override
        public String line() {
            return "traffic " + in + " " + out;
        }
    }

    /** The message as a line. */
    String line();

    /** Reads a line; null where it is no message. */
    static WorkerMessage parse(String line) {
        String[] words = line.split(" ");
        return switch (words[0]) {
            case "listening" ->
                new Listening(Integer.parseInt(words[1]), new InetSocketAddress(words[2], Integer.parseInt(words[3])));
            case "ran" -> new Ran(words[1], Integer.parseInt(words[2]), Long.parseLong(words[3]));
            case "traffic" -> new Traffic(Long.parseLong(words[1]), Long.parseLong(words[2]));
            default -> null;
        };
    }
}
