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
 * Connects the node to its cluster: runs the cluster member on its own thread and socket, and submits standing
 * jobs to the core in the same way as the protocol listeners do. A voter waits for its disk, which must not
 * delay jobs; therefore the member never runs on the core's loop.
 */
final class ClusterPart implements ClusterEnvironment {
    private static final Logger LOG = Logger.getLogger(ClusterPart.class.getName());
    private static final int MAX_LEARNED_ADDRESSES = 1_024;
    /** Time limit for the cluster's answer, so that an operators' call is answered within a second. */
    private static final long CALL_TIMEOUT_MS = 800;
    /** Longest time that a stopping node keeps serving until the service address has moved. */
    private static final long ADDRESS_HANDOVER_MS = 1_000;

    private static final long HANDOVER_POLL_MS = 5;
    private static final long DEMAND_INTERVAL_MICROS = 200_000;

    private final Loop loop = new Loop(
            e -> LOG.log(Level.SEVERE, "unhandled exception on the cluster loop", e), System::nanoTime, "cluster");
    private final Loop coreLoop;
    private final Core core;
    private final Settings settings;
    private final List<String> classNames;
    private final ClusterConfig config;
    private final String node;
    private final DatagramTransport datagrams;
    private final DiskStorage voterStorage;
    private final Member member;
    /** Null if no service address is configured. */
    private final ServiceAddress address;
    /** Null if no budget is configured. */
    private final BudgetLimiter budgetLimiter;

    private final BudgetClient budgetClient;
    /** Addresses by node name, as last read from the file. */
    private Map<String, InetSocketAddress> members;
    /** Source addresses of nodes that are not in the file. */
    private final Map<String, InetSocketAddress> learned = new LinkedHashMap<>();

    private volatile boolean started;

    /** @throws IOException if the address or the store cannot be opened; the message names which one */
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
        if (config.storeFolder() != null) {
            Files.createDirectories(config.storeFolder());
            voterStorage = new DiskStorage(
                    config.storeFolder().resolve("voter-" + NodeConfig.fileKey(node) + ".mv"), config.storeBytes());
        } else {
            voterStorage = null;
        }
        StandingJobScheduler jobScheduler =
                new StandingJobScheduler(config.jobs(), this, System::currentTimeMillis, this::submit, this::logRun);
        Map<String, PieceHandler> pieceHandlers = new LinkedHashMap<>();
        jobScheduler.jobNames().forEach(name -> pieceHandlers.put(name, jobScheduler));
        address = config.address() == null ? null : address(config.address());
        if (address != null) {
            pieceHandlers.put(ClusterConfig.ADDRESS, address);
        }
        MemberConfig memberConfig = new MemberConfig(
                config.cluster(),
                node,
                UUID.randomUUID().toString(),
                System.currentTimeMillis(),
                build,
                config.voters(),
                List.copyOf(pieceHandlers.keySet()),
                config.heartbeatMs(),
                config.leaseMs(),
                config.drift());
        try {
            member = new Member(
                    memberConfig,
                    this,
                    voterStorage,
                    System.nanoTime(),
                    PieceHandler.of(pieceHandlers),
                    config.plants());
            datagrams = new DatagramTransport(loop, config.listen(), Member.MAX_MESSAGE_BYTES + 1, this::receive);
        } catch (MalformedMessageException e) {
            voterStorage.close();
            throw new IOException(config.storeFolder() + ": cannot read the voter store: " + e.getMessage(), e);
        } catch (IOException e) {
            if (voterStorage != null) {
                voterStorage.close();
            }
            throw new IOException(config.listen() + ": " + e.getMessage(), e);
        }
        jobScheduler.setMember(member);
        if (!config.budgets().isEmpty()) {
            budgetLimiter = new BudgetLimiter(config.budgets(), this::millis, this::updateDemand);
            budgetClient = new BudgetClient(
                    config.budgets(),
                    this,
                    member.budgetLink(),
                    config.leaseMs() / 10,
                    config.leaseMs(),
                    config.plants().contains(Member.InjectedFault.GIVES_BACK_LATE),
                    budgetLimiter::updateAllowances);
            member.setSpender(budgetClient);
        } else {
            budgetLimiter = null;
            budgetClient = null;
        }
        if (budgetLimiter != null || config.retries() != null) {
            core.setAdmissionControl(admissionControl(budgetLimiter));
        }
        if (address != null) {
            address.setMember(member);
        }
        if (!config.plants().isEmpty()) {
            LOG.log(Level.SEVERE, "{0} runs with a planted fault, for a drill: {1}", new Object[] {node, config.plants()
            });
        }
    }

    private ServiceAddress address(ClusterConfig.AddressAnnouncement configured) {
        return new ServiceAddress(
                configured.value(),
                configured.refreshMs(),
                this,
                new HttpAnnouncer(configured.registry(), config.leaseMs(), loop::execute),
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
            voterStorage == null
                    ? "and does not vote"
                    : config.voters().contains(node) ? "and votes" : "and can take a voter''s place"
        });
        loop.start();
        loop.execute(() -> {
            member.start();
            releasePermit();
        });
        if (budgetLimiter != null) {
            coreLoop.execute(this::reportDemand);
        }
    }

    /** Returns the admission control for budgets and retries; the core calls it on its own thread. */
    private AdmissionControl admissionControl(BudgetLimiter budgets) {
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

    private void updateDemand(String budget, double perSecond) {
        loop.execute(() -> budgetClient.updateDemand(budget, perSecond));
    }

    /** Reports demand at a fixed interval, so that a drop to zero without new jobs is reported too. */
    private void reportDemand() {
        budgetLimiter.reportDemand(coreLoop.now());
        coreLoop.at(coreLoop.now() + DEMAND_INTERVAL_MICROS, this::reportDemand);
    }

    /** Releases this node's permit to be out of service; repeats the request until a leader has answered. */
    private void releasePermit() {
        if (config.maxOutOfService() > 0) {
            member.release(node, config.leaseMs(), answer -> {
                if (answer == null) {
                    releasePermit();
                }
            });
        }
    }

    /**
     * Hands over the pieces that this node owns, as far as other nodes can take them. Clients of the service
     * address would otherwise find no node, so this node keeps serving until another one has announced it, for
     * a second at most.
     *
     * @param callback called on any thread once the node may stop accepting clients; the value is whether the
     *     service address now sends clients to another node
     */
    void leave(Consumer<Boolean> callback) {
        if (!started) {
            callback.accept(false);
            return;
        }
        loop.execute(() -> {
            member.setLeaving(true);
            if (config.maxOutOfService() > 0) {
                member.permit(config.maxOutOfService(), true, config.leaseMs(), answer -> {});
            }
        });
        if (address == null) {
            callback.accept(false);
            return;
        }
        // A hanging disk blocks the cluster's thread; the timer on the core's loop lets the node stop regardless.
        AtomicBoolean completed = new AtomicBoolean();
        Consumer<Boolean> completeOnce = moved -> {
            if (completed.compareAndSet(false, true)) {
                callback.accept(moved);
            }
        };
        loop.execute(() -> awaitAddressHandover(millis() + ADDRESS_HANDOVER_MS, completeOnce));
        // Twice the handover time, in microseconds.
        coreLoop.execute(
                () -> coreLoop.at(coreLoop.now() + ADDRESS_HANDOVER_MS * 2_000, () -> completeOnce.accept(false)));
    }

    private void awaitAddressHandover(long deadlineMs, Consumer<Boolean> callback) {
        if (address == null) {
            callback.accept(false);
        } else if (millis() >= deadlineMs) {
            LOG.log(Level.WARNING, "{0} ends, and clients may still be sent to it", node);
            callback.accept(false);
        } else if (member.owns(ClusterConfig.ADDRESS)) {
            after(HANDOVER_POLL_MS, () -> awaitAddressHandover(deadlineMs, callback));
        } else {
            address.checkAnnouncedElsewhere(moved -> {
                if (moved) {
                    callback.accept(true);
                } else {
                    after(HANDOVER_POLL_MS, () -> awaitAddressHandover(deadlineMs, callback));
                }
            });
        }
    }

    /**
     * Requests a permit to be out of service. The callback runs on the core's loop, with null if it is granted
     * and otherwise the reason for the refusal.
     */
    void permit(Consumer<String> callback) {
        if (config.maxOutOfService() == 0) {
            callback.accept(null);
            return;
        }
        loop.execute(() -> member.permit(
                config.maxOutOfService(),
                false,
                CALL_TIMEOUT_MS,
                answer -> coreLoop.execute(() -> callback.accept(
                        answer == null
                                ? "no word of a leader in time, so it may not be out"
                                : answer.accepted() ? null : answer.reason()))));
    }

    /** Reports that this node is back in service. */
    void backInService() {
        loop.execute(this::releasePermit);
    }

    /** Replaces the addresses of the members. */
    void reload(ClusterConfig reloaded) {
        loop.execute(() -> members = reloaded.members());
    }

    /** Leaves the cluster and stops; others take over at once if the announcement reaches them. */
    void stop() {
        if (!started) {
            loop.start();
        }
        CountDownLatch closed = new CountDownLatch(started ? 1 : 0);
        loop.execute(() -> member.close(closed::countDown));
        try {
            if (!closed.await(config.leaseMs(), TimeUnit.MILLISECONDS)) {
                LOG.log(Level.INFO, "{0} left the cluster unheard; its lease has to run out", node);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.execute(() -> {
            member.stop();
            datagrams.stop();
            if (voterStorage != null) {
                voterStorage.close();
            }
            loop.stop();
        });
    }

    /**
     * Executes an operators' call: {@code status}, {@code members}, {@code owners} or {@code budgets}, as JSON if
     * {@code json} is appended; {@code transfer PIECE NODE}, which requests a piece for a node until {@code transfer
     * PIECE} cancels that; {@code replace-voter OLD NEW}; {@code permit}; {@code release NODE}. The answer
     * is passed to the callback on the core's loop, within a second.
     */
    void call(String call, Consumer<String> callback) {
        Consumer<String> reply = text -> coreLoop.execute(() -> callback.accept(text));
        String[] words = call.strip().split("\\s+");
        if (!started) {
            callback.accept("fail this node does not serve yet, and is no member before it does\n");
            return;
        }
        Consumer<Register.CommandResult> onResult = answer -> reply.accept(
                answer == null
                        ? "fail no word of a leader in time; it may be done or not, so look\n"
                        : answer.accepted() ? "ok\n" : "fail " + answer.reason() + "\n");
        String what = call.isBlank() ? "status" : words[0];
        loop.execute(() -> {
            if (ClusterView.isQuery(what) && words.length == 1) {
                reply.accept(new ClusterView(member, node, millis(), budgetClient).text(what));
            } else if (ClusterView.isQuery(what) && words.length == 2 && words[1].equals("json")) {
                reply.accept(new ClusterView(member, node, millis(), budgetClient).json(what));
            } else if (what.equals("transfer") && (words.length == 2 || words.length == 3)) {
                member.transfer(words[1], words.length == 3 ? words[2] : "", CALL_TIMEOUT_MS, onResult);
            } else if (what.equals("replace-voter") && words.length == 3) {
                member.replace(words[1], words[2], CALL_TIMEOUT_MS, onResult);
            } else if (what.equals("permit") && words.length == 1) {
                member.permit(Math.max(1, config.maxOutOfService()), false, CALL_TIMEOUT_MS, onResult);
            } else if (what.equals("release") && words.length == 2) {
                member.release(words[1], CALL_TIMEOUT_MS, onResult);
            } else {
                reply.accept("fail say status, members, owners or budgets (and json), transfer PIECE NODE, "
                        + "replace-voter OLD NEW, permit, or release NODE\n");
            }
        });
    }

    // Clock, timers and messages for the member.

    @Override
    public long millis() {
        return (long) (loop.now() / 1_000 * config.clockRate());
    }

    @Override
    public void after(long millis, Runnable callback) {
        loop.at(loop.now() + (long) (millis * 1_000 / config.clockRate()), callback);
    }

    @Override
    public void send(String to, byte[] message) {
        InetSocketAddress address = members.getOrDefault(to, learned.get(to));
        if (address != null) {
            datagrams.send(address, message);
        }
    }

    private void receive(InetSocketAddress from, byte[] message) {
        String name = member.receive(message);
        if (name != null
                && !members.containsKey(name)
                && (learned.size() < MAX_LEARNED_ADDRESSES || learned.containsKey(name))) {
            learned.put(name, from);
        }
    }

    // Standing jobs.

    private void logRun(String job, long number, long epoch, String what) {
        LOG.log(Level.INFO, "standing {0} time {1} epoch {2} at {3}: {4}", new Object[] {
            job, Long.toString(number), Long.toString(epoch), node, what
        });
    }

    private void submit(StandingJob job, long time, long epoch, int attempt, Consumer<JobResult> callback) {
        int index = classNames.indexOf(job.jobClass());
        String key = "standing-" + job.name() + "-" + time;
        Consumer<JobResult> onClusterLoop = end -> loop.execute(() -> callback.accept(end));
        coreLoop.execute(() -> {
            String id = key + "-" + attempt + "-" + Long.toHexString(System.nanoTime());
            boolean keyed = settings.classes().get(index).effect() == Effect.KEYED;
            JobSpec spec = new JobSpec(
                    id,
                    index,
                    null,
                    keyed ? key : null,
                    "text/plain",
                    job.body().getBytes(StandardCharsets.UTF_8),
                    null,
                    job.name() + " " + epoch);
            core.submit(
                    new StandingJobResponse(onClusterLoop),
                    spec,
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

    private record StandingJobResponse(Consumer<JobResult> callback) implements ResponseHandler {
        @Override
        public void served(byte[] result) {
            callback.accept(JobResult.SERVED);
        }

        @Override
        public void refused(long waitMicros) {
            callback.accept(JobResult.REFUSED);
        }

        @Override
        public void failed() {
            callback.accept(JobResult.FAILED);
        }
    }
}
