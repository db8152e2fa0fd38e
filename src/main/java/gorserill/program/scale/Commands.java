package gorserill.program.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command lines of a run's processes; nodes have the JVM's options of the deployment. */
final class Commands {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";
    private static final String JAR = "target/gorserill.jar";
    private static final String HOLLOW_HEAP = "-Xmx256m";

    private final List<String> nodeOptions;

    /** @param deployment the file whose line {@code run} has the options */
    Commands(Path deployment) throws ScaleException {
        try {
            Matcher run = RUN.matcher(Files.readString(deployment));
            if (!run.find()) {
                throw new ScaleException(deployment + " has no line run = \"...\"");
            }
            nodeOptions = options(run.group(1));
        } catch (IOException e) {
            throw new ScaleException(deployment + " can't be read: " + e.getMessage(), e);
        }
    }

    /** Danger: the archive of classes is of the built jar; with any other class path the JVM refuses it. */
    private static List<String> options(String run) {
        List<String> options = new ArrayList<>();
        for (String word : run.split(" ")) {
            if (word.startsWith(ARCHIVE)) {
                String file = word.substring(ARCHIVE.length());
                if (classPath().equals(JAR) && Files.exists(Path.of(file))) {
                    options.add(word);
                }
            } else if (word.startsWith("-X")) {
                options.add(word);
            }
        }
        return List.copyOf(options);
    }

    private static String classPath() {
        return System.getProperty("java.class.path");
    }

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** The options that nodes get. */
    List<String> nodeOptions() {
        return nodeOptions;
    }

    List<String> node() {
        List<String> command = new ArrayList<>(List.of(java()));
        command.addAll(nodeOptions);
        command.addAll(List.of("-cp", classPath(), "gorserill.program.Main", "serve"));
        return command;
    }

    List<String> nodes(int first, int many, String voters, int all) {
        return List.of(
                java(),
                "-XX:+UseSerialGC",
                HOLLOW_HEAP,
                "-cp",
                classPath(),
                HollowNodes.class.getName(),
                "" + first,
                "" + many,
                voters,
                "" + all);
    }

    List<String> workers(int first, int many, long seed, int meanService, Plant plant) {
        return List.of(
                java(),
                "-XX:+UseSerialGC",
                HOLLOW_HEAP,
                "-cp",
                classPath(),
                HollowWorkers.class.getName(),
                "" + first,
                "" + many,
                "" + seed,
                "" + meanService,
                plant.name());
    }
}
