package gorserill.program;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.cluster.member.Member;
import gorserill.cluster.ownership.Register;
import gorserill.cluster.shared.BudgetClient;
import java.util.Set;

/** What staff see of the cluster from one node: rows of some kinds, as lines of text or as JSON. */
final class ClusterView {
    /** What can be asked for, and the kinds of rows that it has. */
    private static final java.util.Map<String, Set<String>> PARTS = java.util.Map.of(
            "status",
            Set.of("node", "owns", "voter", "replacing", "member", "piece", "out", "dropped"),
            "members",
            Set.of("member", "voter", "replacing", "out"),
            "owners",
            Set.of("piece", "owns"),
            "budgets",
            Set.of("spends", "part", "ghost"));

    private final ObjectNode rows = JsonNodeFactory.instance.objectNode();

    /** @param now by the member's clock */
    ClusterView(Member member, String node, long now, BudgetClient spender) {
        long alone = member.withoutLeaderSince();
        String leader = member.leader();
        row("node", node)
                .put("life", member.life())
                .put("voter", member.voterStatus() == null ? "no" : member.voterStatus())
                .put("leader", leader == null ? "unknown" : leader)
                .put(
                        "quorum",
                        member.replaced()
                                ? "a newer process has this name"
                                : alone < 0 ? "yes" : "none for " + (now - alone) + " ms");
        for (String piece : member.owned()) {
            row("owns", piece).put("epoch", member.epoch(piece));
        }
        Register register = member.register();
        // Danger: what a voter has applied may be late; only the leader's is what holds, so each row says
        // whose.
        String of = "leads".equals(member.voterStatus()) ? null : node;
        member.voters().forEach((name, votes) -> as(of, row("voter", name).put("votes", votes)));
        Register.VoterReplacement replacing = register.replacing();
        if (replacing != null) {
            as(
                    of,
                    row("replacing", replacing.leaving)
                            .put("by", replacing.coming)
                            .put("entry", replacing.entry));
        }
        register.nodes()
                .forEach((name, one) -> as(
                        of,
                        row("member", name)
                                .put("life", one.life)
                                .put("build", one.build)
                                .put("leaves", one.leaves)));
        register.pieces()
                .forEach((name, piece) -> as(
                        of,
                        row("piece", name)
                                .put("owner", piece.owner.isEmpty() ? "nobody" : piece.owner)
                                .put("epoch", piece.epoch)
                                .put("last", piece.last)
                                .put("open", piece.open.size())
                                .put("unknown", piece.unknown.size())));
        if (spender != null) {
            boolean lapsed = now >= member.budgetLink().leaseUntil();
            spender.shareFigures()
                    .forEach((name, its) -> row("spends", name)
                            .put("has", its[0])
                            .put("due", its[1])
                            .put("wants", its[2])
                            .put(
                                    "lease",
                                    lapsed
                                            ? "over: its floor alone"
                                            : "for " + (member.budgetLink().leaseUntil() - now) + " ms"));
        }
        register.budgetShares()
                .parts
                .forEach((name, its) -> its.forEach((holder, part) -> as(
                        of,
                        row("part", name)
                                .put("node", holder)
                                .put("has", part.has)
                                .put("wants", part.wants))));
        register.budgetShares()
                .ghosts
                .forEach((name, its) -> its.forEach((budget, has) ->
                        as(of, row("ghost", name).put("budget", budget).put("has", has))));
        register.outOfService().forEach((name, why) -> as(of, row("out", name).put("why", why)));
        member.dropped()
                .forEach((why, count) ->
                        row("dropped", why.lines().findFirst().orElse("")).put("count", count));
    }

    private ObjectNode row(String kind, String name) {
        return rows.withArray("/" + kind).addObject().put("name", name);
    }

    private static void as(String of, ObjectNode row) {
        if (of != null) {
            row.put("as_of", of);
        }
    }

    /** Whether it is something that can be asked for. */
    static boolean has(String part) {
        return PARTS.containsKey(part);
    }

    /** One line of JSON: the rows by kind. */
    String json(String part) {
        ObjectNode wanted = rows.deepCopy();
        wanted.retain(PARTS.get(part));
        return wanted + "\neof\n";
    }

    /** A line a row: its kind, its name, and figures as {@code name=value}. */
    String text(String part) {
        StringBuilder text = new StringBuilder();
        rows.fields().forEachRemaining(kind -> {
            if (PARTS.get(part).contains(kind.getKey())) {
                ((ArrayNode) kind.getValue()).forEach(row -> {
                    text.append(kind.getKey());
                    row.fields()
                            .forEachRemaining(one -> text.append(' ')
                                    .append(one.getKey().equals("name") ? "" : one.getKey() + "=")
                                    .append(one.getValue().asText().replace(' ', '_')));
                    text.append('\n');
                });
            }
        });
        return text.append("eof\n").toString();
    }
}
