package gorserill.program;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.member.Member;
import gorserill.cluster.ownership.Register;
import gorserill.cluster.shared.BudgetClient;
import java.util.Set;

/**
 * The cluster state that operators can query, as seen by one node: rows grouped by kind, as lines of text or as
 * JSON.
 */
final class ClusterView {
    /** The queries, and the kinds of rows that each of them returns. */
    private static final java.util.Map<String, Set<String>> ROW_KINDS_BY_QUERY = java.util.Map.of(
            "status",
            Set.of("node", "owns", "voter", "replacing", "member", "piece", "out", "dropped"),
            "members",
            Set.of("member", "voter", "replacing", "out"),
            "owners",
            Set.of("piece", "owns"),
            "budgets",
            Set.of("spends", "part", "ghost"));

    private final ObjectNode rows = JsonNodeFactory.instance.objectNode();

    /** @param now milliseconds on the member's clock */
    ClusterView(Member member, String node, long now, BudgetClient budgetClient) {
        long withoutLeaderSince = member.withoutLeaderSince();
        String leader = member.leader();
        row("node", node)
                .put("life", member.life())
                .put("voter", member.voterStatus() == null ? "no" : member.voterStatus())
                .put("leader", leader == null ? "unknown" : leader)
                .put(
                        "quorum",
                        member.replaced()
                                ? "a newer process has this name"
                                : withoutLeaderSince < 0 ? "yes" : "none for " + (now - withoutLeaderSince) + " ms");
        for (String piece : member.owned()) {
            row("owns", piece).put("epoch", member.epoch(piece));
        }
        Register register = member.register();
        // Only the leader's state is current; another node's may lag behind, so its rows name the node in as_of.
        String asOf = "leads".equals(member.voterStatus()) ? null : node;
        member.voters()
                .forEach((name, votes) -> addAsOf(asOf, row("voter", name).put("votes", votes)));
        Register.VoterReplacement replacing = register.replacing();
        if (replacing != null) {
            addAsOf(
                    asOf,
                    row("replacing", replacing.leaving)
                            .put("by", replacing.coming)
                            .put("entry", replacing.entry));
        }
        register.nodes()
                .forEach((name, registered) -> addAsOf(
                        asOf,
                        row("member", name)
                                .put("life", registered.life)
                                .put("build", registered.build)
                                .put("leaves", registered.leaves)));
        register.pieces()
                .forEach((name, piece) -> addAsOf(
                        asOf,
                        row("piece", name)
                                .put("owner", piece.owner.isEmpty() ? "nobody" : piece.owner)
                                .put("epoch", piece.epoch)
                                .put("last", piece.last)
                                .put("open", piece.open.size())
                                .put("unknown", piece.unknown.size())));
        if (budgetClient != null) {
            boolean leaseExpired = now >= member.budgetLink().leaseUntil();
            budgetClient
                    .shareFigures()
                    .forEach((name, figures) -> row("spends", name)
                            .put("has", figures[0])
                            .put("due", figures[1])
                            .put("wants", figures[2])
                            .put(
                                    "lease",
                                    leaseExpired
                                            ? "over: its floor alone"
                                            : "for " + (member.budgetLink().leaseUntil() - now) + " ms"));
        }
        register.budgetShares()
                .parts
                .forEach((name, shares) -> shares.forEach((holder, part) -> addAsOf(
                        asOf,
                        row("part", name)
                                .put("node", holder)
                                .put("has", part.has)
                                .put("wants", part.wants))));
        register.budgetShares()
                .ghosts
                .forEach((name, budgets) -> budgets.forEach((budget, has) ->
                        addAsOf(asOf, row("ghost", name).put("budget", budget).put("has", has))));
        register.outOfService()
                .forEach((name, why) -> addAsOf(asOf, row("out", name).put("why", why)));
        member.dropped()
                .forEach((why, count) ->
                        row("dropped", why.lines().findFirst().orElse("")).put("count", count));
    }

    private ObjectNode row(String kind, String name) {
        return rows.withArray("/" + kind).addObject().put("name", name);
    }

    private static void addAsOf(String asOf, ObjectNode row) {
        if (asOf != null) {
            row.put("as_of", asOf);
        }
    }

    /** Returns whether this is the name of a query. */
    static boolean isQuery(String name) {
        return ROW_KINDS_BY_QUERY.containsKey(name);
    }

    /** Returns the rows of a query, grouped by kind, as one line of JSON. */
    String json(String query) {
        ObjectNode selected = rows.deepCopy();
        selected.retain(ROW_KINDS_BY_QUERY.get(query));
        return selected + "\neof\n";
    }

    /** Returns one line per row: its kind, its name, and its fields as {@code name=value}. */
    String text(String query) {
        StringBuilder text = new StringBuilder();
        rows.fields().forEachRemaining(kind -> {
            if (ROW_KINDS_BY_QUERY.get(query).contains(kind.getKey())) {
                ((ArrayNode) kind.getValue()).forEach(row -> {
                    text.append(kind.getKey());
                    row.fields()
                            .forEachRemaining(field -> text.append(' ')
                                    .append(field.getKey().equals("name") ? "" : field.getKey() + "=")
                                    .append(field.getValue().asText().replace(' ', '_')));
                    text.append('\n');
                });
            }
        });
        return text.append("eof\n").toString();
    }
}
