package gorserill.program.scale;

import java.io.IOException;
import java.io.UncheckedIOException;

/** A process of hollow workers: thousands of listeners under one selector. */
public final class HollowWorkers {
    private static final int ARGUMENTS = 5;

    private final HollowLoop loop = new HollowLoop();
    private final HollowWorker[] workers;
    private final int first;
    private final Plant plant;
    private long in;
    private long out;
    private long results;
    private String lastId = "none";

    private HollowWorkers(int first, int many, long seed, int meanService, Plant plant) throws IOException {
        this.first = first;
        this.plant = plant;
        workers = new HollowWorker[many];
        for (int i = 0; i < many; i++) {
            workers[i] = new HollowWorker(first + i, seed, meanService, this);
        }
    }

    /** Takes the first worker's number, how many, the seed, the mean service time and the planted fault. */
    public static void main(String[] args) throws IOException {
        if (args.length != ARGUMENTS) {
            throw new IllegalArgumentException("FIRST MANY SEED MEAN_SERVICE_MS PLANT");
        }
        new HollowWorkers(
                        Integer.parseInt(args[0]),
                        Integer.parseInt(args[1]),
                        Long.parseLong(args[2]),
                        Integer.parseInt(args[3]),
                        Plant.valueOf(args[4]))
                .run();
    }

    private void run() throws IOException {
        for (HollowWorker worker : workers) {
            tell(new WorkerMessage.Listening(worker.index, worker.listen()));
        }
        loop.run(this::command);
    }

    private void command(String line) {
        WorkerCommand command = WorkerCommand.parse(line);
        try {
            if (command instanceof WorkerCommand.End end) {
                workers[end.worker() - first].end();
            } else if (command instanceof WorkerCommand.Start start) {
                HollowWorker worker = workers[start.worker() - first];
                tell(new WorkerMessage.Listening(worker.index, worker.startAgain()));
            } else if (command instanceof WorkerCommand.Count) {
                tell(new WorkerMessage.Traffic(in, out));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    HollowLoop loop() {
        return loop;
    }

    void tell(WorkerMessage message) {
        loop.tell(message.line());
    }

    void cameIn(int bytes) {
        in += bytes;
    }

    void wentOut(int bytes) {
        out += bytes;
    }

    /** What a job's result says: its id, but where another's is planted. */
    String resultFor(String id) {
        String told = Plant.FOREIGN_RESULT.hits(plant, results++) ? lastId : id;
        lastId = id;
        return told;
    }
}
