package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Settings;
import gorserill.common.Loop;
import gorserill.protocol.ClientFrontend;
import gorserill.protocol.IntakeMode;
import gorserill.routing.Core;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The node's end, on a clock of the test's own. */
public class LifecycleTest {
    private static final long LONGEST = 6_000_000;

    private static final class Ending {
        long nanos;
        final List<Throwable> faults = new ArrayList<>();
        final Loop loop = new Loop(faults::add, () -> nanos);
        final List<String> told = new ArrayList<>();
        boolean empty;

        final ClientFrontend front = new ClientFrontend() {
            @Override
            public void setIntakeMode(IntakeMode intake) {
                told.add(intake.toString());
            }

            @Override
            public void closeIdle() {
                told.add("close idle");
            }

            @Override
            public boolean hasNoClients() {
                return empty;
            }

            @Override
            public void advertiseReady(boolean clients) {
                told.add("welcome " + clients);
            }

            @Override
            public void announceShutdown() {}
        };

        void passes(long millis) {
            for (long end = nanos + millis * 1_000_000; nanos < end; nanos += 10_000_000) {
                loop.runDue();
            }
            loop.runDue();
        }

        Ending() {
            JobClass safe = new JobClass(100_000, 2, LONGEST, 1, 0, Effect.SAFE, Group.ALL, 0, -1);
            Core core = new Core(
                    loop,
                    new Settings(
                            1,
                            0,
                            List.of(safe),
                            List.of(),
                            1,
                            new Cold(0.2, 10_000_000, 3, 1_000_000),
                            4,
                            true,
                            2_000_000,
                            true,
                            true,
                            0),
                    3,
                    () -> {});
            Lifecycle life = new Lifecycle(
                    loop, "n1", core, List.of(front), false, () -> told.add("listening ends"), () -> told.add("ended"));
            life.startServing();
            life.shutDown(LONGEST, false);
        }
    }

    /** Danger: with no request open, one may have come in part: its client is owed a word. */
    @Test
    public void theEndWaitsForClientsThatAreStillConnected() {
        Ending node = new Ending();
        node.passes(2_300);
        assertEquals(
                node.told,
                List.of("welcome true", "welcome false", "listening ends", "ONE_MORE_PER_CONNECTION", "close idle"));
        node.passes(700);
        assertFalse(node.told.contains("ended"));
        node.empty = true;
        node.passes(310);
        assertTrue(node.told.contains("ended"));
        assertEquals(node.faults, List.of());
    }

    /** Clients that never leave hold it up no longer than SIGKILL would let it. */
    @Test
    public void theEndComesBeforeSigkillWhoeverIsStillConnected() {
        Ending node = new Ending();
        node.passes(3_690);
        assertTrue(node.told.contains("ended"));
        assertEquals(node.faults, List.of());
    }
}
