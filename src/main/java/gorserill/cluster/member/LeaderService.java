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
 * Serves the members while this voter leads: puts entries into the log for them, renews leases, ends the
 * lives of those not heard. Danger: a leader that was cut off does not know it; a lease is renewed only after
 * a quorum said that it still leads.
 */
final class LeaderService {
    /** Renewals are confirmed together, and requests for budgets put into the log, so many beats apart. */
    private static final double GATHER = 0.25;
    /** Renewals that wait; beyond that they are dropped, and asked for again. */
    private static final int WAITING = 1_024;

    private final MemberConfig config;
    private final ClusterEnvironment ground;
    private final Voter voter;
    private final Register register;
    private final BiConsumer<String, ObjectNode> send;
    private final Map<String, Heard> heardAt = new HashMap<>();
    /** Lives whose end is proposed, by node: whether the log has it yet or not, they are renewed no more. */
    private final Map<String, Long> closing = new HashMap<>();

    private final List<Renewal> waiting = new ArrayList<>();
    private final PendingRequests questions = new PendingRequests();
    private final BudgetRequests requests = new BudgetRequests();
    private boolean grouping;
    private boolean confirming;
    private long leadsSince = -1;
    private long lookedAt;
    private final Map<String, Long> ghostsSeen = new HashMap<>();

    /** When the life of that number was heard last. */
    private record Heard(long life, long at) {}

    private record Renewal(BiConsumer<String, ObjectNode> back, String node, long life, long at, long came) {}

    LeaderService(
            MemberConfig config,
            ClusterEnvironment ground,
            Voter voter,
            Register register,
            BiConsumer<String, ObjectNode> send) {
        this.config = config;
        this.ground = ground;
        this.voter = voter;
        this.register = register;
        this.send = send;
    }

    /** Danger: a new leader has heard nobody yet; all get a whole patience from here on. */
    void leads(boolean now) {
        leadsSince = now ? ground.millis() : -1;
        heardAt.clear();
        closing.clear();
        waiting.clear();
        confirming = false;
        questions.clear();
        requests.clear();
        grouping = false;
        lookedAt = leadsSince;
        ghostsSeen.clear();
        if (now) {
            watch(leadsSince);
        }
    }

    private void watch(long since) {
        if (leadsSince != since) {
            return;
        }
        // Danger: one that was stalled, or is starved, has not listened, and would take all others for dead.
        long late = Math.max(0, ground.millis() - lookedAt - 2 * config.heartbeatMs());
        lookedAt = ground.millis();
        if (late > 0) {
            heardAt.replaceAll((node, heard) -> new Heard(heard.life, heard.at + late));
        }
        for (Map.Entry<String, Register.Node> each :
                List.copyOf(register.nodes().entrySet())) {
            long life = each.getValue().life;
            Heard heard = heardAt.get(each.getKey());
            if (heard == null || heard.life != life) {
                // Danger: measured by when the life before was heard, a new one would be over at once.
                heardAt.put(each.getKey(), new Heard(life, ground.millis()));
            } else if (ground.millis() - heard.at > config.failureTimeoutMs()) {
                heardAt.put(each.getKey(), new Heard(life, ground.millis()));
                closing.put(each.getKey(), life);
                put(new Entry.Close(each.getKey(), life, Register.NOT_HEARD), answer -> {});
            }
        }
        // Danger: a process that was replaced spends until its lease is over, and may not know yet.
        Set<String> ghosts = register.budgetShares().ghosts.keySet();
        ghostsSeen.keySet().retainAll(ghosts);
        ghosts.forEach(ghost -> ghostsSeen.putIfAbsent(ghost, ground.millis()));
        ghostsSeen.forEach((ghost, at) -> {
            if (ground.millis() - at > config.failureTimeoutMs()) {
                put(new Entry.ReclaimShare(ghost), answer -> {});
            }
        });
        Register.VoterReplacement its = register.replacing();
        if (its != null
                && voter.replace(
                        its.leaving,
                        its.coming,
                        its.entry,
                        seat -> send.accept(its.coming, message("seat").set("seat", seat)))) {
            put(new Entry.Replaced(its.entry), answer -> {});
        }
        ground.after(config.heartbeatMs(), () -> watch(since));
    }

    private void put(Entry entry, Consumer<Register.CommandResult> then) {
        put(entry, Register.CommandResult.class, then);
    }

    /**
     * Puts an entry into the log, and tells those whose pieces that changed.
     *
     * @param then what the register made of it; null where that is not known
     */
    private <T> void put(Entry entry, Class<T> what, Consumer<T> then) {
        Map<String, Long> before = new HashMap<>();
        register.pieces().forEach((name, piece) -> before.put(name, piece.epoch));
        voter.propose(Register.text(entry), result -> {
            then.accept(what.isInstance(result) ? what.cast(result) : null);
            register.pieces().forEach((name, piece) -> {
                if (piece.epoch != before.getOrDefault(name, 0L) && !piece.owner.isEmpty()) {
                    // Danger: told now, a new owner need not wait for its next renewal.
                    send.accept(piece.owner, view(piece.owner, -1));
                }
            });
        });
    }

    void asked(BiConsumer<String, ObjectNode> back, String from, String process, long id, Entry entry) {
        Consumer<Register.CommandResult> way = answer -> back.accept(
                from,
                message("told")
                        .put("process", process)
                        .put("id", id)
                        .put("done", answer.accepted())
                        .put("why", answer.reason())
                        .put("number", answer.value()));
        String whyNot = entry.format() > register.format()
                ? "not all nodes are of a build that knows this yet"
                : entry instanceof Entry.Replace replace ? whyNot(replace) : null;
        Consumer<Register.CommandResult> all = answer -> questions.complete(process, id, answer);
        if (whyNot != null) {
            way.accept(new Register.CommandResult(false, whyNot, 0));
        } else if (!questions.add(process, id, way)) {
            // Its entry is on its way already.
            return;
        } else if (entry instanceof Entry.RequestBudget request) {
            requests.add(request, all);
            gather();
        } else {
            put(entry, all);
        }
    }

    // ---- requests for budgets ----

    private void gather() {
        if (!grouping && requests.size() > 0) {
            grouping = true;
            long since = leadsSince;
            ground.after((long) (config.heartbeatMs() * GATHER), () -> {
                if (since == leadsSince) {
                    nextGroup();
                }
            });
        }
    }

    /**
     * One group is on its way through the log at a time. Danger: every node tells what it wants of each
     * budget, and a claim that waits behind all of that in the log, or finds no room there, comes too late.
     */
    private void nextGroup() {
        List<BudgetRequests.Waiting> group = requests.next();
        boolean more = requests.size() > 0;
        Entry.RequestBudgets all = new Entry.RequestBudgets(
                group.stream().map(BudgetRequests.Waiting::request).toList());
        long since = leadsSince;
        if (all.format() <= register.format()) {
            put(all, Register.CommandResults.class, answers -> {
                for (int i = 0; i < group.size(); i++) {
                    group.get(i)
                            .then()
                            .accept(answers == null ? null : answers.results().get(i));
                }
                grouped(since, more);
            });
        } else {
            // Some node is of a build that does not know groups: one entry each, as it did.
            int[] left = {group.size()};
            group.forEach(one -> put(one.request(), answer -> {
                one.then().accept(answer);
                if (--left[0] == 0) {
                    grouped(since, more);
                }
            }));
        }
    }

    /** @param more whether a group was full: the next one then need not wait for company */
    private void grouped(long since, boolean more) {
        if (since != leadsSince) {
            return;
        } else if (more) {
            nextGroup();
        } else {
            grouping = false;
            gather();
        }
    }

    // ---- voters ----

    /** Why a voter can't be replaced so; null where it can. */
    private String whyNot(Entry.Replace replace) {
        Set<String> seats = voter.voterNodes();
        Register.VoterReplacement its = register.replacing();
        // Danger: let go of when the new one votes already, the old one would vote on for good.
        return its != null && voter.votes(its.coming, its.entry)
                ? its.coming + " is just taking the place of " + its.leaving + "; ask again when that is done"
                : !seats.contains(replace.leaving())
                        ? "no voter " + replace.leaving() + " among " + seats
                        : seats.contains(replace.coming()) && !replace.coming().equals(replace.leaving())
                                ? replace.coming() + " votes already"
                                : null;
    }

    // ---- leases ----

    /** @param back the way that the answer goes */
    void renew(BiConsumer<String, ObjectNode> back, String from, long life, long at) {
        if (waiting.size() < WAITING) {
            waiting.add(new Renewal(back, from, life, at, ground.millis()));
        }
        if (!confirming) {
            confirming = true;
            ground.after((long) (config.heartbeatMs() * GATHER), this::confirm);
        }
    }

    private void confirm() {
        List<Renewal> batch = new ArrayList<>(waiting);
        waiting.clear();
        long since = leadsSince;
        voter.confirmLeadership(leads -> {
            if (since != leadsSince) {
                return;
            }
            confirming = false;
            if (leads) {
                batch.forEach(this::renewed);
            }
            if (!waiting.isEmpty()) {
                confirming = true;
                ground.after((long) (config.heartbeatMs() * GATHER), this::confirm);
            }
        });
    }

    private void renewed(Renewal renewal) {
        Register.Node node = register.nodes().get(renewal.node);
        if (node != null && closing.getOrDefault(renewal.node, 0L) == node.life) {
            // Danger: a lease renewed now would outlast the entry that ends this life.
            return;
        } else if (node != null && node.life == renewal.life) {
            Heard heard = heardAt.get(renewal.node);
            heardAt.put(
                    renewal.node,
                    new Heard(
                            renewal.life,
                            heard != null && heard.life == renewal.life
                                    ? Math.max(heard.at, renewal.came)
                                    : renewal.came));
        }
        renewal.back.accept(renewal.node, view(renewal.node, renewal.at));
    }

    /** What a node owns, as of the log's last entry. */
    private ObjectNode view(String to, long at) {
        Register.Node node = register.nodes().get(to);
        ObjectNode view = message("view")
                .put("at", at)
                .put("as_of", voter.appliedIndex())
                .put("life", node == null ? 0 : node.life);
        view.put("members_since", voter.membersSince());
        voter.members().keySet().forEach(view.putArray("members")::add);
        ArrayNode budgets = view.putArray("budgets");
        register.budgetShares().parts.forEach((name, its) -> {
            BudgetShares.Share part = its.get(to);
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
