package gorserill.program.scale;

/** What a process of hollow nodes tells the run, a line each. */
sealed interface NodeMessage {
    /** A node has its first life in the cluster's register. */
    record Joined(int node) implements NodeMessage {
        @Override
        public String line() {
            return "joined " + node;
        }
    }

    /** A node may spend more of the budget than before, from a moment of Unix time on. */
    record Allowed(int node, long at) implements NodeMessage {
        @Override
        public String line() {
            return "allowed " + node + " " + at;
        }
    }

    /** What went by so far, all nodes of the process together. */
    record Traffic(long messages, long bytes) implements NodeMessage {
        @Override
        public String line() {
            return "traffic " + messages + " " + bytes;
        }
    }

    /** The message as a line. */
    String line();

    /** Reads a line; null where it is no message. */
    static NodeMessage parse(String line) {
        String[] words = line.split(" ");
        return switch (words[0]) {
            case "joined" -> new Joined(Integer.parseInt(words[1]));
            case "allowed" -> new Allowed(Integer.parseInt(words[1]), Long.parseLong(words[2]));
            case "traffic" -> new Traffic(Long.parseLong(words[1]), Long.parseLong(words[2]));
            default -> null;
        };
    }
}
