package gorserill.program.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * What a process has used up to now.
 *
 * @param cpuMillis of all its threads
 * @param residentMb that it holds in memory
 */
record ProcessUsage(double cpuMillis, double residentMb) {
    private static final int KB = 1_024;
    private static final long MB = 1 << 20;
    private static final int PATIENCE = 10;

    static ProcessUsage of(ProcessHandle process) throws IOException {
        double cpu = process.info()
                .totalCpuDuration()
                .map(used -> used.toNanos() / 1e6)
                .orElse(Double.NaN);
        double resident = Files.readAllLines(Path.of("/proc", "" + process.pid(), "status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D+", "")) / KB)
                .findFirst()
                .orElse(Double.NaN);
        return new ProcessUsage(cpu, resident);
    }

    /** Megabytes of its heap that live on after a full collection, which this causes; NaN where untold. */
    static double liveHeapMb(ProcessHandle process) throws IOException, InterruptedException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.isExecutable(jcmd)) {
            return Double.NaN;
        }
        Process asked = new ProcessBuilder(jcmd.toString(), "" + process.pid(), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        try (BufferedReader lines = asked.inputReader()) {
            return lines.lines()
                    .filter(line -> line.startsWith("Total"))
                    .findFirst()
                    .map(line -> Long.parseLong(line.strip().split("\\s+")[2]) / (double) MB)
                    .orElse(Double.NaN);
        } finally {
            if (!asked.waitFor(PATIENCE, TimeUnit.SECONDS)) {
                asked.destroyForcibly();
            }
        }
    }
}
