package gorserill.program.scale;

/** What the run tells a process of hollow workers, a line each. */
sealed interface WorkerCommand {
    /** The worker dies: its connections are reset, new ones are refused. */
    record End(int worker) implements WorkerCommand {
        @Override
        public String line() {
            return "end " + worker;
        }
    }

    /** A dead worker comes back, cold. */
    record Start(int worker) implements WorkerCommand {
        @Override
        public String line() {
            return "start " + worker;
        }
    }

    /** The bytes that went by are to be told. */
    record Count() implements WorkerCommand {
        @Override
        public String line() {
            return "count";
        }
    }

    /** The command as a line. */
    String line();

    /** Reads a line; null where it is no command. */
    static WorkerCommand parse(String line) {
        String[] words = line.split(" ");
        return switch (words[0]) {
            case "end" -> new End(Integer.parseInt(words[1]));
            case "start" -> new Start(Integer.parseInt(words[1]));
            case "count" -> new Count();
            default -> null;
        };
    }
}
