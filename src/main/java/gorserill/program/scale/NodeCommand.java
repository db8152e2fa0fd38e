package gorserill.program.scale;

/** What the run tells a process of hollow nodes, a line each. */
sealed interface NodeCommand {
    /** From now on a node is asked for so many jobs a second. */
    record Demand(int node, int perSecond) implements NodeCommand {
        @Override
        public String line() {
            return "demand " + node + " " + perSecond;
        }
    }

    /** The messages that went by are to be told. */
    record Count() implements NodeCommand {
        @Override
        public String line() {
            return "count";
        }
    }

    /** The command as a line. */
    String line();

    /** Reads a line; null where it is no command. */
    static NodeCommand parse(String line) {
        String[] words = line.split(" ");
        return switch (words[0]) {
            case "demand" -> new Demand(Integer.parseInt(words[1]), Integer.parseInt(words[2]));
            case "count" -> new Count();
            default -> null;
        };
    }
}
