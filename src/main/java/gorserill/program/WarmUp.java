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
 * Sends synthetic requests through codecs, core and dispatcher before the node reports ready. Otherwise the first
 * requests after a restart would wait for class loading and run in the interpreter.
 */
final class WarmUp {
    private static final int REQUESTS = 300;
    private static final int WORKER_COUNT = 12;
    private static final long REQUEST_INTERVAL_NANOS = 20_000_000;
    private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

    private WarmUp() {}

    /** Runs the warm-up and returns the number of synthetic requests that were answered. */
    static int run(Settings settings) {
        HttpCodecWarmUp.run(REQUESTS);
        // A simulated clock lets the dispatcher's periods pass without waiting.
        long[] nanos = new long[1];
        Loop loop = new Loop(e -> LOG.log(Level.WARNING, "the warm-up failed; the node goes on", e), () -> nanos[0]);
        Core core = new Core(loop, settings, 1, () -> {});
        Deque<Attempt> startedAttempts = new ArrayDeque<>();
        WorkerPort port = new WorkerPort() {
            @Override
            public void start(Attempt attempt, JobSpec work, long expires) {
                startedAttempts.add(attempt);
            }

            @Override
            public boolean abort(Attempt attempt) {
                return true;
            }
        };
        Map<Long, WorkerPort> ports = new HashMap<>();
        for (long id = 1; id <= WORKER_COUNT; id++) {
            ports.put(id, port);
        }
        core.updateWorkers(
                ListKind.WHOLE,
                ports.keySet().stream()
                        .map(id -> new Worker(id, 0, settings.zone(), 0, WorkerState.READY, 0))
                        .toList(),
                ports);
        Counter counter = new Counter();
        for (int i = 0; i < REQUESTS; i++) {
            core.submit(
                    counter,
                    new JobSpec("w", i % settings.classes().size(), "/", "k", null, new byte[0]),
                    new RequestOptions(loop.now(), 1_000_000, false, 0, 0, 1, 0));
            nanos[0] += REQUEST_INTERVAL_NANOS;
            loop.runDue();
            for (Attempt attempt = startedAttempts.poll(); attempt != null; attempt = startedAttempts.poll()) {
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
