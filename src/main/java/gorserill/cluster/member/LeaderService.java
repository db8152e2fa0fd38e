package gorserill.cluster.member;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.consensus.Voter;
import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import gorserill.cluster.shared.BudgetShares;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Serves the members while this voter leads: proposes log entries for them, renews leases and closes the
 * lives of nodes that were not heard. A leader that was partitioned off does not notice it at once, so a
 * lease is renewed only after a quorum has confirmed the leadership.
 */
final class LeaderService {
    /** Batching interval of renewals and budget requests, in heartbeat periods. */
    private static final double BATCH_INTERVAL = 0.25;
    /** Maximum number of waiting renewals; further ones are dropped and repeated by their senders. */
    private static final int MAX_WAITING_RENEWALS = 1_024;

    private final MemberConfig config;
    private final ClusterEnvironment environment;
    private final Voter voter;
    private final Register register;
    private final BiConsumer<String, ObjectNode> send;
    private final Map<String, LastHeard> heardAt = new HashMap<>();
    /**
     * Lives proposed for closing, by node. They are not renewed any more, whether or not the entry is
     * committed.
     */
    private final Map<String, Long> closingLives = new HashMap<>();

    private final List<Renewal> waitingRenewals = new ArrayList<>();
    private final PendingRequests pendingRequests = new PendingRequests();
    private final BudgetRequests requests = new BudgetRequests();
    private boolean groupPending;
    private boolean confirmationPending;
    private long leaderSinceMs = -1;
    private long lastCheckMs;
    private final Map<String, Long> ghostsSeenAt = new HashMap<>();

    /** The time at which a life was last heard. */
    private record LastHeard(long life, long at) {}

    private record Renewal(BiConsumer<String, ObjectNode> back, String node, long life, long at, long receivedAt) {}

    LeaderService(
            MemberConfig config,
            ClusterEnvironment environment,
            Voter voter,
            Register register,
            BiConsumer<String, ObjectNode> send) {
        this.config = config;
        this.environment = environment;
        this.voter = voter;
        this.register = register;
        this.send = send;
    }

    /**
     * A new leader has not heard any node yet, so each one gets a full failure timeout from the election on.
     */
    void onLeadershipChange(boolean leading) {
        leaderSinceMs = leading ? environment.millis() : -1;
        heardAt.clear();
        closingLives.clear();
        waitingRenewals.clear();
        confirmationPending = false;
        pendingRequests.clear();
        requests.clear();
        groupPending = false;
        lastCheckMs = leaderSinceMs;
        ghostsSeenAt.clear();
        if (leading) {
            checkNodes(leaderSinceMs);
        }
    }

    private void checkNodes(long since) {
        if (leaderSinceMs != since) {
            return;
        }
        // If this process was suspended or starved, it did not receive renewals either: the delay is added to
        // the last-heard times so that live nodes are not closed.
        long delayMs = Math.max(0, environment.millis() - lastCheckMs - 2 * config.heartbeatMs());
        lastCheckMs = environment.millis();
        if (delayMs > 0) {
            heardAt.replaceAll((node, heard) -> new LastHeard(heard.life, heard.at + delayMs));
        }
        for (Map.Entry<String, Register.Node> each :
                List.copyOf(register.nodes().entrySet())) {
            long life = each.getValue().life;
            LastHeard heard = heardAt.get(each.getKey());
            if (heard == null || heard.life != life) {
                // A new life starts its own timeout; with the last-heard time of the previous life it would
                // be closed at once.
                heardAt.put(each.getKey(), new LastHeard(life, environment.millis()));
            } else if (environment.millis() - heard.at > config.failureTimeoutMs()) {
                heardAt.put(each.getKey(), new LastHeard(life, environment.millis()));
                closingLives.put(each.getKey(), life);
                put(new Entry.Close(each.getKey(), life, Register.NOT_HEARD), answer -> {});
            }
        }
        // A replaced process may spend its share until its lease expires, without knowing that it was
        // replaced.
        Set<String> ghosts = register.budgetShares().ghosts.keySet();
        ghostsSeenAt.keySet().retainAll(ghosts);
        ghosts.forEach(ghost -> ghostsSeenAt.putIfAbsent(ghost, environment.millis()));
        ghostsSeenAt.forEach((ghost, at) -> {
            if (environment.millis() - at > config.failureTimeoutMs()) {
                put(new Entry.ReclaimShare(ghost), answer -> {});
            }
        });
        Register.VoterReplacement replacement = register.replacing();
        if (replacement != null
                && voter.replace(
                        replacement.leaving,
                        replacement.coming,
                        replacement.entry,
                        seat -> send.accept(replacement.coming, message("seat").set("seat", seat)))) {
            put(new Entry.Replaced(replacement.entry), answer -> {});
        }
        environment.after(config.heartbeatMs(), () -> checkNodes(since));
    }

    private void put(Entry entry, Consumer<Register.CommandResult> then) {
        put(entry, Register.CommandResult.class, then);
    }

    /**
     * Proposes an entry and sends the new view to each node that becomes an owner by it.
     *
     * @param then receives the result of the register, or null if the outcome is not known
     */
    private <T> void put(Entry entry, Class<T> resultType, Consumer<T> then) {
        Map<String, Long> before = new HashMap<>();
        register.pieces().forEach((name, piece) -> before.put(name, piece.epoch));
        voter.propose(Register.text(entry), result -> {
            then.accept(resultType.isInstance(result) ? resultType.cast(result) : null);
            register.pieces().forEach((name, piece) -> {
                if (piece.epoch != before.getOrDefault(name, 0L) && !piece.owner.isEmpty()) {
                    // Sent at once, so that a new owner need not wait for its next renewal.
                    send.accept(piece.owner, view(piece.owner, -1));
                }
            });
        });
    }

    void handleRequest(BiConsumer<String, ObjectNode> back, String from, String process, long id, Entry entry) {
        Consumer<Register.CommandResult> route = answer -> back.accept(
                from,
                message("told")
                        .put("process", process)
                        .put("id", id)
                        .put("done", answer.accepted())
                        .put("why", answer.reason())
                        .put("number", answer.value()));
        String refusalReason = entry.format() > register.format()
                ? "not all nodes are of a build that knows this yet"
                : entry instanceof Entry.Replace replace ? refusalReason(replace) : null;
        Consumer<Register.CommandResult> all = answer -> pendingRequests.complete(process, id, answer);
        if (refusalReason != null) {
            route.accept(new Register.CommandResult(false, refusalReason, 0));
        } else if (!pendingRequests.add(process, id, route)) {
            // The entry of this request has already been proposed.
            return;
        } else if (entry instanceof Entry.RequestBudget request) {
            requests.add(request, all);
            scheduleGroup();
        } else {
            put(entry, all);
        }
    }

    // ---- requests for budgets ----

    private void scheduleGroup() {
        if (!groupPending && requests.size() > 0) {
            groupPending = true;
            long since = leaderSinceMs;
            environment.after((long) (config.heartbeatMs() * BATCH_INTERVAL), () -> {
                if (since == leaderSinceMs) {
                    proposeGroup();
                }
            });
        }
    }

    /**
     * Proposes the next group; at most one group is in flight. Every node requests its share of each budget,
     * and claims queued behind all these requests, or refused for lack of room in the log, would come too
     * late.
     */
    private void proposeGroup() {
        List<BudgetRequests.Waiting> group = requests.next();
        boolean more = requests.size() > 0;
        Entry.RequestBudgets all = new Entry.RequestBudgets(
                group.stream().map(BudgetRequests.Waiting::request).toList());
        long since = leaderSinceMs;
        if (all.format() <= register.format()) {
            put(all, Register.CommandResults.class, answers -> {
                for (int i = 0; i < group.size(); i++) {
                    group.get(i)
                            .then()
                            .accept(answers == null ? null : answers.results().get(i));
                }
                onGroupDone(since, more);
            });
        } else {
            // Some node runs a build without group entries: propose one entry per request.
            int[] left = {group.size()};
            group.forEach(one -> put(one.request(), answer -> {
                one.then().accept(answer);
                if (--left[0] == 0) {
                    onGroupDone(since, more);
                }
            }));
        }
    }

    /**
     * @param more whether requests were left over; then the next group is proposed without waiting for the
     *     interval
     */
    private void onGroupDone(long since, boolean more) {
        if (since != leaderSinceMs) {
            return;
        } else if (more) {
            proposeGroup();
        } else {
            groupPending = false;
            scheduleGroup();
        }
    }

    // ---- voters ----

    /** The reason why a voter replacement is refused; null if it is allowed. */
    private String refusalReason(Entry.Replace replace) {
        Set<String> seats = voter.voterNodes();
        Register.VoterReplacement replacement = register.replacing();
        // If the replacement in progress were superseded when its new voter already votes, the old voter
        // would never be removed.
        return replacement != null && voter.votes(replacement.coming, replacement.entry)
                ? replacement.coming + " is just taking the place of " + replacement.leaving
                        + "; ask again when that is done"
                : !seats.contains(replace.leaving())
                        ? "no voter " + replace.leaving() + " among " + seats
                        : seats.contains(replace.coming()) && !replace.coming().equals(replace.leaving())
                                ? replace.coming() + " votes already"
                                : null;
    }

    // ---- leases ----

    /**
     * Queues a renewal until the leadership is confirmed.
     *
     * @param back sends the answer to the node
     */
    void renew(BiConsumer<String, ObjectNode> back, String from, long life, long at) {
        if (waitingRenewals.size() < MAX_WAITING_RENEWALS) {
            waitingRenewals.add(new Renewal(back, from, life, at, environment.millis()));
        }
        if (!confirmationPending) {
            confirmationPending = true;
            environment.after((long) (config.heartbeatMs() * BATCH_INTERVAL), this::confirm);
        }
    }

    private void confirm() {
        List<Renewal> batch = new ArrayList<>(waitingRenewals);
        waitingRenewals.clear();
        long since = leaderSinceMs;
        voter.confirmLeadership(confirmed -> {
            if (since != leaderSinceMs) {
                return;
            }
            confirmationPending = false;
            if (confirmed) {
                batch.forEach(this::completeRenewal);
            }
            if (!waitingRenewals.isEmpty()) {
                confirmationPending = true;
                environment.after((long) (config.heartbeatMs() * BATCH_INTERVAL), this::confirm);
            }
        });
    }

    private void completeRenewal(Renewal renewal) {
        Register.Node node = register.nodes().get(renewal.node);
        if (node != null && closingLives.getOrDefault(renewal.node, 0L) == node.life) {
            // A lease renewed now would outlast the entry that closes this life.
            return;
        } else if (node != null && node.life == renewal.life) {
            LastHeard heard = heardAt.get(renewal.node);
            heardAt.put(
                    renewal.node,
                    new LastHeard(
                            renewal.life,
                            heard != null && heard.life == renewal.life
                                    ? Math.max(heard.at, renewal.receivedAt)
                                    : renewal.receivedAt));
        }
        renewal.back.accept(renewal.node, view(renewal.node, renewal.at));
    }

    /**
     * The view sent to a node: its life, pieces, budget shares and the voters as of the last applied entry.
     */
    private ObjectNode view(String to, long at) {
        Register.Node node = register.nodes().get(to);
        ObjectNode view = message("view")
                .put("at", at)
                .put("as_of", voter.appliedIndex())
                .put("life", node == null ? 0 : node.life);
        view.put("members_since", voter.membersSince());
        voter.members().keySet().forEach(view.putArray("members")::add);
        ArrayNode budgets = view.putArray("budgets");
        register.budgetShares().parts.forEach((name, shares) -> {
            BudgetShares.Share part = shares.get(to);
            if (part != null) {
                budgets.addObject()
                        .put("budget", name)
                        .put("has", part.has)
                        .put("due", register.budgetShares().fairShares(name).get(to))
                        .put("turn", part.turn);
            }
        });
        ArrayNode pieces = view.putArray("pieces");
        register.pieces().forEach((name, piece) -> {
            if (piece.owner.equals(to)) {
                ObjectNode one = pieces.addObject()
                        .put("piece", name)
                        .put("epoch", piece.epoch)
                        .put("last", piece.last)
                        .put("stays", to.equals(register.preferredOwner(name)));
                ArrayNode unknown = one.putArray("unknown");
                piece.unknown.forEach(unknown::add);
            }
        });
        return view;
    }

    static ObjectNode message(String kind) {
        return JsonNodeFactory.instance.objectNode().put("kind", kind);
    }
}
