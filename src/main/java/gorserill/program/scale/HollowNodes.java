package gorserill.program.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/** A process of hollow nodes: hundreds of members of the cluster on one thread. */
public final class HollowNodes {
    private static final int ARGUMENTS = 4;
    /** Milliseconds between the starts of two nodes. */
    private static final int STAGGER = 5;

    private final HollowLoop loop = new HollowLoop();
    private final Map<Integer, HollowNode> nodes = new LinkedHashMap<>();
    private long messages;
    private long bytes;

    private HollowNodes(int first, int many, Map<String, InetSocketAddress> voters, int all) throws IOException {
        ClusterTerms cluster = new ClusterTerms(voters.size(), all);
        for (int i = first; i < first + many; i++) {
            HollowNode node = new HollowNode(i, this, voters, cluster);
            nodes.put(i, node);
            loop.after((long) (i - first) * STAGGER, node::start);
        }
    }

    /** Takes the first node's number, how many, the voters as NAME=HOST:PORT,... and all nodes' number. */
    public static void main(String[] args) throws IOException {
        if (args.length != ARGUMENTS) {
            throw new IllegalArgumentException("FIRST MANY VOTERS NODES");
        }
        Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
        for (String voter : args[2].split(",")) {
            String[] parts = voter.split("[=:]");
            voters.put(parts[0], new InetSocketAddress(parts[1], Integer.parseInt(parts[2])));
        }
        HollowNodes process = new HollowNodes(
                Integer.parseInt(args[0]), Integer.parseInt(args[1]), voters, Integer.parseInt(args[3]));
        process.loop.run(process::command);
    }

    private void command(String line) {
        NodeCommand command = NodeCommand.parse(line);
        if (command instanceof NodeCommand.Demand demand) {
            nodes.get(demand.node()).demand(demand.perSecond());
        } else if (command instanceof NodeCommand.Count) {
            tell(new NodeMessage.Traffic(messages, bytes));
        }
    }

    HollowLoop loop() {
        return loop;
    }

    void tell(NodeMessage message) {
        loop.tell(message.line());
    }

    void wentBy(int length) {
        messages++;
        bytes += length;
    }
}
