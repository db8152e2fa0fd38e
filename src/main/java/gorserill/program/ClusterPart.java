package gorserill.program;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Settings;
import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.MalformedMessageException;
import gorserill.cluster.address.ServiceAddress;
import gorserill.cluster.consensus.DiskStorage;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.MemberConfig;
import gorserill.cluster.member.PieceHandler;
import gorserill.cluster.ownership.Register;
import gorserill.cluster.shared.BudgetClient;
import gorserill.cluster.shared.BudgetLimiter;
import gorserill.cluster.shared.RetryBudget;
import gorserill.cluster.standing.StandingJob;
import gorserill.cluster.standing.StandingJobScheduler;
import gorserill.cluster.standing.StandingJobScheduler.JobResult;
import gorserill.common.Loop;
import gorserill.routing.AdmissionControl;
import gorserill.routing.Core;
import gorserill.routing.JobSpec;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.transport.DatagramTransport;
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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The node's part in a cluster: its member, on a thread and a socket of its own, and the standing jobs that
 * it fires through the core like any front's. Danger: a voter waits for its disk, which must not hold up
 * jobs; so nothing of it runs on the core's loop.
 */
final class ClusterPart implements ClusterEnvironment {
    private static final Logger LOG = Logger.getLogger(ClusterPart.class.getName());
    private static final int ADDRESSES = 1_024;
    /** Milliseconds in which staff are to be told. */
    private static final long ANSWER = 800;
    /** Milliseconds that a node that ends goes on for the service address's sake. */
    private static final long HANDING_OVER = 1_000;

    private static final long HANDING_STEP = 5;
    /** Microseconds. */
    private static final long DEMAND = 200_000;

    private final Loop loop =
            new Loop(e -> LOG.log(Level.SEVERE, "an event of the cluster failed", e), System::nanoTime, "cluster");
    private final Loop coreLoop;
    private final Core core;
    private final Settings settings;
    private final List<String> classNames;
    private final ClusterConfig config;
    private final String node;
    private final DatagramTransport datagrams;
    private final DiskStorage shelf;
    private final Member member;
    /** Null where none is announced. */
    private final ServiceAddress address;
    /** Null where no budget is told. */
    private final BudgetLimiter door;

    private final BudgetClient spender;
    /** Addresses by name, as the file has them at present. */
    private Map<String, InetSocketAddress> members;
    /** Where nodes that no file names were heard from. */
    private final Map<String, InetSocketAddress> learned = new LinkedHashMap<>();

    private volatile boolean started;

    /** @throws IOException where the address or the store can't be had; it names which */
    ClusterPart(
            ClusterConfig config,
            String node,
            String build,
            Loop coreLoop,
            Core core,
            Settings settings,
            List<String> classNames)
            throws IOException {
        this.config = config;
        members = config.members();
        this.node = node;
        this.coreLoop = coreLoop;
        this.core = core;
        this.settings = settings;
        this.classNames = classNames;
        if (config.store() != null) {
            Files.createDirectories(config.store());
            shelf = new DiskStorage(
                    config.store().resolve("voter-" + NodeConfig.fileKey(node) + ".mv"), config.storeBytes());
        } else {
            shelf = null;
        }
        StandingJobScheduler standing =
                new StandingJobScheduler(config.jobs(), this, System::currentTimeMillis, this::run, this::tell);
        Map<String, PieceHandler> duties = new LinkedHashMap<>();
        standing.jobNames().forEach(name -> duties.put(name, standing));
        address = config.address() == null ? null : address(config.address());
        if (address != null) {
            duties.put(ClusterConfig.ADDRESS, address);
        }
        MemberConfig terms = new MemberConfig(
                config.cluster(),
                node,
                UUID.randomUUID().toString(),
                System.currentTimeMillis(),
                build,
                config.voters(),
                List.copyOf(duties.keySet()),
                config.beat(),
                config.lease(),
                config.drift());
        try {
            member = new Member(terms, this, shelf, System.nanoTime(), PieceHandler.of(duties), config.plants());
            datagrams = new DatagramTransport(loop, config.listen(), Member.MAX_MESSAGE_BYTES + 1, this::heard);
        } catch (MalformedMessageException e) {
            shelf.close();
            throw new IOException(config.store() + ": the voter's store: " + e.getMessage(), e);
        } catch (IOException e) {
            if (shelf != null) {
                shelf.close();
            }
            throw new IOException(config.listen() + ": " + e.getMessage(), e);
        }
        standing.setMember(member);
        if (!config.budgets().isEmpty()) {
            door = new BudgetLimiter(config.budgets(), this::millis, this::demand);
            spender = new BudgetClient(
                    config.budgets(),
                    this,
                    member.budgetLink(),
                    config.lease() / 10,
                    config.lease(),
                    config.plants().contains(Member.InjectedFault.GIVES_BACK_LATE),
                    door::updateAllowances);
            member.setSpender(spender);
        } else {
            door = null;
            spender = null;
        }
        if (door != null || config.retries() != null) {
            core.setAdmissionControl(entry(door));
        }
        if (address != null) {
            address.setMember(member);
        }
        if (!config.plants().isEmpty()) {
            LOG.log(Level.SEVERE, "{0} runs with a planted fault, for a drill: {1}", new Object[] {node, config.plants()
            });
        }
    }

    private ServiceAddress address(ClusterConfig.Announced its) {
        return new ServiceAddress(
                its.value(),
                its.refresh(),
                this,
                new HttpAnnouncer(its.registry(), config.lease(), loop::execute),
                (epoch, what) -> LOG.log(Level.INFO, "{0} epoch {1} at {2}: {3}", new Object[] {
                    ClusterConfig.ADDRESS, Long.toString(epoch), node, what
                }));
    }

    void start() {
        started = true;
        LOG.log(Level.INFO, "{0} is a member of {1} at {2}, {3}", new Object[] {
            node,
            config.cluster(),
            config.listen(),
            shelf == null
                    ? "and does not vote"
                    : config.voters().contains(node) ? "and votes" : "and can take a voter''s place"
        });
        loop.start();
        loop.execute(() -> {
            member.start();
            back();
        });
        if (door != null) {
            coreLoop.execute(this::tellDemand);
        }
    }

    /** How the core asks; on its thread. */
    private AdmissionControl entry(BudgetLimiter budgets) {
        RetryBudget retries = config.retries() == null
                        || config.plants().contains(Member.InjectedFault.RETRIES_UNBOUNDED)
                ? null
                : new RetryBudget(
                        config.retries().percent() / 100.0, config.retries().saved());
        return new AdmissionControl() {
            @Override
            public long admissionDelay(long now, int jobClass, int tenant) {
                return budgets == null ? 0 : budgets.tryAdmit(now, jobClass, tenant);
            }

            @Override
            public boolean mayAttempt(boolean first) {
                if (retries != null && first) {
                    retries.recordFirstAttempt();
                }
                return retries == null || first || retries.tryRetry();
            }
        };
    }

    private void demand(String budget, double perSecond) {
        loop.execute(() -> spender.updateDemand(budget, perSecond));
    }

    /** Where no job comes any more, that has to be told as well. */
    private void tellDemand() {
        door.reportDemand(coreLoop.now());
        coreLoop.at(coreLoop.now() + DEMAND, this::tellDemand);
    }

    /** It serves: it is not out any more. Asked until a leader has answered. */
    private void back() {
        if (config.outAtOnce() > 0) {
            member.release(node, config.lease(), answer -> {
                if (answer == null) {
                    back();
                }
            });
        }
    }

    /**
     * Hands over what it owns, as far as others can take it. Danger: clients who come by the service address
     * would find nobody, so the node goes on until another has it, for a second at the most.
     *
     * @param then is told once it may stop taking clients, on any thread, and whether clients come by that
     *     address and are sent elsewhere
     */
    void leave(Consumer<Boolean> then) {
        if (!started) {
            then.accept(false);
            return;
        }
        loop.execute(() -> {
            member.setLeaving(true);
            if (config.outAtOnce() > 0) {
                member.permit(config.outAtOnce(), true, config.lease(), answer -> {});
            }
        });
        if (address == null) {
            then.accept(false);
            return;
        }
        // Danger: a disk that hangs holds the cluster's thread, and must not hold the node's end.
        AtomicBoolean told = new AtomicBoolean();
        Consumer<Boolean> once = elsewhere -> {
            if (told.compareAndSet(false, true)) {
                then.accept(elsewhere);
            }
        };
        loop.execute(() -> untilHandedOver(millis() + HANDING_OVER, once));
        coreLoop.execute(() -> coreLoop.at(coreLoop.now() + HANDING_OVER * 2_000, () -> once.accept(false)));
    }

    private void untilHandedOver(long until, Consumer<Boolean> then) {
        if (address == null) {
            then.accept(false);
        } else if (millis() >= until) {
            LOG.log(Level.WARNING, "{0} ends, and clients may still be sent to it", node);
            then.accept(false);
        } else if (member.owns(ClusterConfig.ADDRESS)) {
            after(HANDING_STEP, () -> untilHandedOver(until, then));
        } else {
            address.checkAnnouncedElsewhere(so -> {
                if (so) {
                    then.accept(true);
                } else {
                    after(HANDING_STEP, () -> untilHandedOver(until, then));
                }
            });
        }
    }

    /**
     * Asks whether this node may be out of service; the answer, why not or null, is told on the core's loop.
     */
    void permit(Consumer<String> then) {
        if (config.outAtOnce() == 0) {
            then.accept(null);
            return;
        }
        loop.execute(() -> member.permit(
                config.outAtOnce(),
                false,
                ANSWER,
                answer -> coreLoop.execute(() -> then.accept(
                        answer == null
                                ? "no word of a leader in time, so it may not be out"
                                : answer.accepted() ? null : answer.reason()))));
    }

    /** It is back in service. */
    void backInService() {
        loop.execute(this::back);
    }

    /** Takes over the addresses of the members. */
    void reload(ClusterConfig fresh) {
        loop.execute(() -> members = fresh.members());
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
     * What staff ask: {@code status}, {@code members}, {@code owners} or {@code budgets}, with {@code json}
     * behind it as JSON; {@code transfer PIECE NODE}, which wants a piece at a node until {@code transfer
     * PIECE} takes that back; {@code replace-voter OLD NEW}; {@code permit}; {@code release NODE}. The answer
     * is told on the core's loop, within a second.
     */
    void call(String about, Consumer<String> to) {
        Consumer<String> back = text -> coreLoop.execute(() -> to.accept(text));
        String[] words = about.strip().split("\\s+");
        if (!started) {
            to.accept("fail this node does not serve yet, and is no member before it does\n");
            return;
        }
        Consumer<Register.CommandResult> told = answer -> back.accept(
                answer == null
                        ? "fail no word of a leader in time; it may be done or not, so look\n"
                        : answer.accepted() ? "ok\n" : "fail " + answer.reason() + "\n");
        String what = about.isBlank() ? "status" : words[0];
        loop.execute(() -> {
            if (ClusterView.has(what) && words.length == 1) {
                back.accept(new ClusterView(member, node, millis(), spender).text(what));
            } else if (ClusterView.has(what) && words.length == 2 && words[1].equals("json")) {
                back.accept(new ClusterView(member, node, millis(), spender).json(what));
            } else if (what.equals("transfer") && (words.length == 2 || words.length == 3)) {
                member.transfer(words[1], words.length == 3 ? words[2] : "", ANSWER, told);
            } else if (what.equals("replace-voter") && words.length == 3) {
                member.replace(words[1], words[2], ANSWER, told);
            } else if (what.equals("permit") && words.length == 1) {
                member.permit(Math.max(1, config.outAtOnce()), false, ANSWER, told);
            } else if (what.equals("release") && words.length == 2) {
                member.release(words[1], ANSWER, told);
            } else {
                back.accept("fail say status, members, owners or budgets (and json), transfer PIECE NODE, "
                        + "replace-voter OLD NEW, permit, or release NODE\n");
            }
        });
    }

    // ---- what the member stands on ----

    @Override
    public long millis() {
        return (long) (loop.now() / 1_000 * config.rate());
    }

    @Override
    public void after(long millis, Runnable then) {
        loop.at(loop.now() + (long) (millis * 1_000 / config.rate()), then);
    }

    @Override
    public void send(String to, byte[] message) {
        InetSocketAddress address = members.getOrDefault(to, learned.get(to));
        if (address != null) {
            datagrams.send(address, message);
        }
    }

    private void heard(InetSocketAddress from, byte[] message) {
        String name = member.receive(message);
        if (name != null && !members.containsKey(name) && (learned.size() < ADDRESSES || learned.containsKey(name))) {
            learned.put(name, from);
        }
    }

    // ---- standing jobs ----

    private void tell(String job, long number, long epoch, String what) {
        LOG.log(Level.INFO, "standing {0} time {1} epoch {2} at {3}: {4}", new Object[] {
            job, Long.toString(number), Long.toString(epoch), node, what
        });
    }

    private void run(StandingJob job, long time, long epoch, int attempt, Consumer<JobResult> then) {
        int index = classNames.indexOf(job.jobClass());
        String key = "standing-" + job.name() + "-" + time;
        Consumer<JobResult> back = end -> loop.execute(() -> then.accept(end));
        coreLoop.execute(() -> {
            String id = key + "-" + attempt + "-" + Long.toHexString(System.nanoTime());
            boolean keyed = settings.classes().get(index).effect() == Effect.KEYED;
            JobSpec work = new JobSpec(
                    id,
                    index,
                    null,
                    keyed ? key : null,
                    "text/plain",
                    job.body().getBytes(StandardCharsets.UTF_8),
                    null,
                    job.name() + " " + epoch);
            core.submit(
                    new Answering(back),
                    work,
                    new RequestOptions(
                            coreLoop.now(),
                            settings.classes().get(index).deadline(),
                            false,
                            settings.tenants().isEmpty() ? 0 : -1,
                            0,
                            1,
                            0));
        });
    }

    private record Answering(Consumer<JobResult> to) implements ResponseHandler {
        @Override
        public void served(byte[] result) {
            to.accept(JobResult.SERVED);
        }

        @Override
        public void refused(long waitMicros) {
            to.accept(JobResult.REFUSED);
        }

        @Override
        public void failed() {
            to.accept(JobResult.FAILED);
        }
    }
}
