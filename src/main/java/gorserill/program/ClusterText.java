package gorserill.program;

import gorserill.cluster.member.Member;
import gorserill.cluster.ownership.Register;

/** What staff see of the cluster from one node: a line for it, one for each member and each piece. */
final class ClusterText {
    private ClusterText() { }

    static String of(Member member, String node, long now) {
        StringBuilder text = new StringBuilder();
        long alone = member.aloneSince();
        text.append("node ").append(node).append(" life=").append(member.life()).append(" voter=")
            .append(member.voting() == null ? "no" : member.voting().replace(' ', '_')).append(" leader=")
            .append(member.leader() == null ? "unknown" : member.leader()).append(" quorum=")
            .append(member.replaced() ? "a_newer_process_has_this_name" : alone < 0 ? "yes"
                : "none_for_" + (now - alone) + "_ms").append('\n');
        for (String piece : member.owned()) {
            text.append("owns ").append(piece).append(" epoch=").append(member.epoch(piece)).append('\n');
        }
        Register register = member.register();
        // Danger: what a voter has applied may be late; only the leader's is what holds, so each line says
        // whose.
        String of = "leads".equals(member.voting()) ? "" : " as_of=" + node;
        register.nodes().forEach((name, one) -> text.append("member ").append(name).append(" life=")
            .append(one.life)
            .append(" build=").append(one.build).append(one.leaves ? " leaves" : "").append(of).append('\n'));
        register.pieces().forEach((name, piece) -> text.append("piece ").append(name).append(" owner=")
            .append(piece.owner.isEmpty() ? "nobody" : piece.owner).append(" epoch=").append(piece.epoch)
            .append(" last=").append(piece.last).append(" open=").append(piece.open.size())
            .append(" unknown=")
            .append(piece.unknown.size()).append(of).append('\n'));
        member.dropped().forEach((why, count) -> text.append("dropped ").append(count).append(' ')
            .append(why.lines().findFirst().orElse("")).append('\n'));
        return text.append("eof\n").toString();
    }
}
