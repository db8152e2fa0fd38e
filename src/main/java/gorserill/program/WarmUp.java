package gorserill.program;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.Loop;
import gorserill.protocol.http.HttpCodecWarmUp;
import gorserill.routing.Attempt;
import gorserill.routing.Core;
import gorserill.routing.JobSpec;
import gorserill.routing.Load;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.routing.WorkerPort;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Sends make-believe requests through codecs, core and module before the node says that it is ready. Danger:
 * the first clients of a restarted node would pay for loading and interpreting every class on their way.
 */
final class WarmUp {
    private static final int ROUNDS = 300;
    private static final int WORKERS = 12;
    private static final long ROUND_NANOS = 20_000_000;
    private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

    private WarmUp() {}

    /** Gives how many of the make-believe requests were answered. */
    static int run(Settings settings) {
        HttpCodecWarmUp.run(ROUNDS);
        // A clock of its own, so that the module's periods pass without waiting for them.
        long[] nanos = new long[1];
        Loop loop = new Loop(e -> LOG.log(Level.WARNING, "the warm-up failed; the node goes on", e), () -> nanos[0]);
        Core core = new Core(loop, settings, 1, () -> {});
        Deque<Attempt> sent = new ArrayDeque<>();
        WorkerPort port = new WorkerPort() {
            @Override
            public void start(Attempt attempt, JobSpec work, long expires) {
                sent.add(attempt);
            }

            @Override
            public boolean abort(Attempt attempt) {
                return true;
            }
        };
        Map<Long, WorkerPort> ports = new HashMap<>();
        for (long id = 1; id <= WORKERS; id++) {
            ports.put(id, port);
        }
        core.updateWorkers(
                ListKind.WHOLE,
                ports.keySet().stream()
                        .map(id -> new Worker(id, 0, settings.zone(), 0, WorkerState.READY, 0))
                        .toList(),
                ports);
        Counter counter = new Counter();
        for (int i = 0; i < ROUNDS; i++) {
            core.submit(
                    counter,
                    new JobSpec("w", i % settings.classes().size(), "/", "k", null, new byte[0]),
                    new RequestOptions(loop.now(), 1_000_000, false, 0, 0, 1, 0));
            nanos[0] += ROUND_NANOS;
            loop.runDue();
            for (Attempt attempt = sent.poll(); attempt != null; attempt = sent.poll()) {
                attempt.started();
                attempt.ended(Outcome.SERVED, new byte[0], Load.NONE);
            }
        }
        return counter.answers;
    }

    private static final class Counter implements ResponseHandler {
        private int answers;

        @Override
        public void served(byte[] result) {
            answers++;
        }

        @Override
        public void refused(long waitMicros) {
            answers++;
        }

        @Override
        public void failed() {
            answers++;
        }
    }
}
