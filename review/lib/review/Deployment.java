package review;

import java.io.IOException;
import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.Collectors;

/** The files of a small deployment, after the sites of the pages: a node's configuration and its cluster's. */
final class Deployment {
    private Deployment() {}

    /** A class of jobs; {@code effect} as in the settings, {@code scope} of a keyed one. */
    record JobClass(String name, long aimMs, double stretch, long deadlineMs, double worth, String effect, String scope, long windowMs) {
        private String json() {
            return "{\"name\":\"" + name + "\",\"aim_us\":" + aimMs * 1_000 + ",\"deadline_us\":" + deadlineMs * 1_000
                    + ",\"worth\":" + worth + ",\"late_share\":0.0,\"stream\":false,\"effect\":\"" + effect
                    + "\",\"dedup_scope\":\"" + scope + "\",\"dedup_window_us\":" + windowMs * 1_000 + "}";
        }
    }

    static String node(
            Rig.Node node, int instances, int zone, List<String> zones, Discovery discovery, List<JobClass> classes) {
        return "{\"name\":\"" + node.name + "\",\"listen\":\"127.0.0.1:" + node.clients + "\",\"admin_addr\":\"127.0.0.1:"
                + node.operators + "\",\"discovery\":\"" + discovery.address() + "\",\"seed\":\"8c1f30d2" + Integer.toHexString(node.clients) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + discovery.listing(true) + ","
                + "\"settings\":{\"instances\":" + instances + ",\"zone\":" + zone + ",\"areas\":" + names(zones) + ",\"shapes\":[\"std4\"],"
                + "\"caps\":{\"max_attempts\":5,\"may_cancel\":true,\"retry_after\":true,\"max_retry_after_us\":2000000,"
                + "\"second_copies\":true,\"connect_timeout_us\":250000,\"conn_idle_us\":15000000,\"multiplex\":1},"
                + "\"obligations\":{\"ask_within_us\":10000000,\"cold_from\":0.13,\"drain_grace_us\":500000,\"fall_multiple\":4.0,"
                + "\"fall_us\":2000000,\"grace_to_answer_us\":16000,\"warm_up_us\":24000000},"
                + "\"prices\":{\"cross_zone\":0.1,\"handshake\":0.02,\"late_fail\":0.08,\"waste\":0.25},"
                + "\"goal\":{\"whole\":0.7,\"worst_class\":0.2,\"worst_window\":0.1},"
                + "\"registry_mode\":\"on_request\",\"report\":{\"how\":\"piggyback\",\"names\":[\"util\",\"eps\",\"x0\"]},"
                + "\"domain\":{\"report_x0\":\"free_slots\",\"tells_start\":true,\"progress_us\":2000000,\"class_stretch\":["
                + classes.stream().map(c -> Double.toString(c.stretch)).collect(Collectors.joining(","))
                + "],\"class_kind\":[" + classes.stream().map(c -> "-1").collect(Collectors.joining(",")) + "]},"
                + "\"request_classes\":[" + classes.stream().map(JobClass::json).collect(Collectors.joining(",")) + "]}}";
    }

    private static String names(List<String> all) {
        return all.stream().map(name -> "\"" + name + "\"").collect(Collectors.joining(",", "[", "]"));
    }

    /** The cluster's file; {@code more} are further members of the object, each with a comma before it. */
    static String cluster(Rig.Node node, List<Rig.Node> all, List<String> voters, String more) throws IOException {
        return cluster(node, all, (from, to) -> "127.0.0.1:" + to.wire, voters, more);
    }

    /** The same where a node finds each other one at an address of its own. */
    static String cluster(
            Rig.Node node, List<Rig.Node> all, BiFunction<Rig.Node, Rig.Node, String> address, List<String> voters, String more)
            throws IOException {
        return "{\"enabled\":true,\"cluster\":\"frio\",\"listen\":\"127.0.0.1:" + node.wire + "\",\"members\":{"
                + all.stream().map(n -> "\"" + n.name + "\":\"" + address.apply(node, n) + "\"").collect(Collectors.joining(","))
                + "},\"voters\":" + names(voters) + ",\"store\":\"" + node.home.resolve("store") + "\"" + more + "}";
    }
}
