package gorserill.program;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Settings;
import gorserill.cluster.BadMessage;
import gorserill.cluster.Ground;
import gorserill.cluster.consensus.DiskShelf;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.Terms;
import gorserill.cluster.standing.Standing;
import gorserill.cluster.standing.Standing.End;
import gorserill.cluster.standing.StandingJob;
import gorserill.common.Loop;
import gorserill.routing.Ask;
import gorserill.routing.Core;
import gorserill.routing.Front;
import gorserill.routing.Work;
import gorserill.transport.Datagrams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The node's part in a cluster: its member, on a thread and a socket of its own, and the standing jobs that
 * it fires through the core like any front's. Danger: a voter waits for its disk, which must not hold up
 * jobs; so nothing of it runs on the core's loop.
 */
final class ClusterPart implements Ground {
    private static final Logger LOG = Logger.getLogger(ClusterPart.class.getName());
    private static final int ADDRESSES = 1_024;
    /** Milliseconds in which staff are to be told. */
    private static final long ANSWER = 800;

    private final Loop loop = new Loop(e -> LOG.log(Level.SEVERE, "an event of the cluster failed", e),
        System::nanoTime, "cluster");
    private final Loop coreLoop;
    private final Core core;
    private final Settings settings;
    private final List<String> classNames;
    private final ClusterConfig config;
    private final String node;
    private final Datagrams datagrams;
    private final DiskShelf shelf;
    private final Member member;
    /** Where nodes that no file names were heard from. */
    private final Map<String, InetSocketAddress> learned = new LinkedHashMap<>();
    private volatile boolean started;

    /** @throws IOException where the address or the store can't be had; it names which */
    ClusterPart(ClusterConfig config, String node, String build, Loop coreLoop, Core core, Settings settings,
                List<String> classNames) throws IOException {
        this.config = config;
        this.node = node;
        this.coreLoop = coreLoop;
        this.core = core;
        this.settings = settings;
        this.classNames = classNames;
        if (config.store() != null) {
            Files.createDirectories(config.store());
            shelf = new DiskShelf(config.store().resolve("voter-" + NodeConfig.fileKey(node) + ".mv"));
        } else {
            shelf = null;
        }
        Standing standing = new Standing(config.jobs(), this, System::currentTimeMillis, this::run,
            this::tell);
        Terms terms = new Terms(config.cluster(), node, UUID.randomUUID().toString(),
            System.currentTimeMillis(),
            build, config.voters(), standing.names(), config.beat(), config.lease(), config.drift());
        try {
            member = new Member(terms, this, shelf, System.nanoTime(), standing, config.plants());
            datagrams = new Datagrams(loop, config.listen(), Member.MOST + 1, this::heard);
        } catch (BadMessage e) {
            shelf.close();
            throw new IOException(config.store() + ": the voter's store: " + e.getMessage(), e);
        } catch (IOException e) {
            if (shelf != null) {
                shelf.close();
            }
            throw new IOException(config.listen() + ": " + e.getMessage(), e);
        }
        standing.member(member);
        if (!config.plants().isEmpty()) {
            LOG.log(Level.SEVERE, "{0} runs with a planted fault, for a drill: {1}",
                new Object[] {node, config.plants()});
        }
    }

    void start() {
        started = true;
        LOG.log(Level.INFO, "{0} is a member of {1} at {2}, {3}", new Object[] {node, config.cluster(),
            config.listen(), shelf == null ? "and does not vote" : "and votes"});
        loop.start();
        loop.execute(member::start);
    }

    /** Hands over what it owns, as far as others can take it. */
    void leave() {
        if (!started) {
            return;
        }
        loop.execute(() -> member.leaves(true));
    }

    /** Ends: others may take over at once, if the word reaches them. */
    void stop() {
        if (!started) {
            loop.start();
        }
        CountDownLatch closed = new CountDownLatch(started ? 1 : 0);
        loop.execute(() -> member.close(closed::countDown));
        try {
            if (!closed.await(config.lease(), TimeUnit.MILLISECONDS)) {
                LOG.log(Level.INFO, "{0} left the cluster unheard; its lease has to run out", node);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.execute(() -> {
            member.stop();
            datagrams.stop();
            if (shelf != null) {
                shelf.close();
            }
            loop.stop();
        });
    }

    /**
     * What staff ask: nothing in particular, or {@code transfer PIECE NODE}, which wants a piece at a node
     * until {@code transfer PIECE} takes that back. The answer is told on the core's loop, within a second.
     */
    void call(String about, Consumer<String> to) {
        Consumer<String> back = text -> coreLoop.execute(() -> to.accept(text));
        String[] words = about.strip().split("\\s+");
        if (!started) {
            to.accept("fail this node does not serve yet, and is no member before it does\n");
            return;
        }
        loop.execute(() -> {
            if (about.isBlank()) {
                back.accept(ClusterText.of(member, node, millis()));
            } else if (!words[0].equals("transfer") || words.length < 2 || words.length > 3) {
                back.accept("fail say nothing more, or transfer PIECE NODE\n");
            } else {
                member.transfer(words[1], words.length == 3 ? words[2] : "", ANSWER, answer -> back.accept(
                    answer == null ? "fail no word of a leader in time; it may be done or not, so look\n"
                        : answer.done() ? "ok\n" : "fail " + answer.why() + "\n"));
            }
        });
    }

    // ---- what the member stands on ----

    @Override
    public long millis() {
        return loop.now() / 1_000;
    }

    @Override
    public void after(long millis, Runnable then) {
        loop.at(loop.now() + millis * 1_000, then);
    }

    @Override
    public void send(String to, byte[] message) {
        InetSocketAddress address = config.members().getOrDefault(to, learned.get(to));
        if (address != null) {
            datagrams.send(address, message);
        }
    }

    private void heard(InetSocketAddress from, byte[] message) {
        String name = member.heard(message);
        if (name != null && !config.members().containsKey(name)
            && (learned.size() < ADDRESSES || learned.containsKey(name))) {
            learned.put(name, from);
        }
    }

    // ---- standing jobs ----

    private void tell(String job, long number, long epoch, String what) {
        LOG.log(Level.INFO, "standing {0} time {1} epoch {2} at {3}: {4}",
            new Object[] {job, Long.toString(number), Long.toString(epoch), node, what});
    }

    private void run(StandingJob job, long time, int attempt, Consumer<End> then) {
        int index = classNames.indexOf(job.jobClass());
        String key = "standing-" + job.name() + "-" + time;
        Consumer<End> back = end -> loop.execute(() -> then.accept(end));
        coreLoop.execute(() -> {
            String id = key + "-" + attempt + "-" + Long.toHexString(System.nanoTime());
            boolean keyed = settings.classes().get(index).effect() == Effect.KEYED;
            Work work = new Work(id, index, null, keyed ? key : null, "text/plain",
                job.body().getBytes(StandardCharsets.UTF_8));
            core.take(new Answering(back), work, new Ask(coreLoop.now(),
                settings.classes().get(index).deadline(),
                false, settings.tenants().isEmpty() ? 0 : -1, 0, 1, 0));
        });
    }

    private record Answering(Consumer<End> to) implements Front {
        @Override
        public void served(byte[] result) {
            to.accept(End.SERVED);
        }

        @Override
        public void refused(long waitMicros) {
            to.accept(End.REFUSED);
        }

        @Override
        public void failed() {
            to.accept(End.FAILED);
        }
    }
}
