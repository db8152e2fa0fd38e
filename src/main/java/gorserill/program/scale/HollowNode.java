package gorserill.program.scale;

import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.MalformedMessageException;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.PieceHandler;
import gorserill.cluster.shared.Allowance;
import gorserill.cluster.shared.BudgetClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One hollow node: the cluster's real member and budgets on a real socket, without fronts and jobs. */
final class HollowNode implements ClusterEnvironment {
    private final int index;
    private final HollowNodes process;
    private final Map<String, InetSocketAddress> voters;
    private final DatagramChannel socket = DatagramChannel.open();
    private final ByteBuffer buffer = ByteBuffer.allocate(Member.MAX_MESSAGE_BYTES + 1);
    private final Member member;
    private final BudgetClient spender;
    private boolean joined;
    private int allowed;

    /** @param voters addresses by name */
    HollowNode(int index, HollowNodes process, Map<String, InetSocketAddress> voters, ClusterTerms cluster)
            throws IOException {
        this.index = index;
        this.process = process;
        this.voters = voters;
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.configureBlocking(false);
        HollowLoop.Ready ready = this::read;
        socket.register(process.loop().selector(), SelectionKey.OP_READ, ready);
        try {
            member = new Member(
                    cluster.terms("h" + index, List.copyOf(voters.keySet())),
                    this,
                    null,
                    index,
                    PieceHandler.of(Map.of()),
                    Set.of());
        } catch (MalformedMessageException e) {
            throw new IOException(e);
        }
        spender = new BudgetClient(
                List.of(cluster.budget()),
                this,
                member.budgetLink(),
                ClusterTerms.LEASE / 10,
                ClusterTerms.LEASE,
                false,
                this::spends);
        member.setSpender(spender);
    }

    void start() {
        member.start();
    }

    /** It is asked for so many jobs a second from here on. */
    void demand(int perSecond) {
        spender.updateDemand(ClusterTerms.budgetName(), perSecond);
    }

    private void spends(List<Allowance> allowances) {
        int now = allowances.get(0).thousandths();
        if (now > allowed) {
            process.tell(new NodeMessage.Allowed(index, System.currentTimeMillis()));
        }
        allowed = now;
    }

    private void read() throws IOException {
        for (var from = socket.receive(buffer.clear()); from != null; from = socket.receive(buffer.clear())) {
            byte[] message = new byte[buffer.flip().remaining()];
            buffer.get(message);
            process.wentBy(message.length);
            member.receive(message);
            if (!joined && member.life() > 0) {
                joined = true;
                process.tell(new NodeMessage.Joined(index));
            }
        }
    }

    @Override
    public long millis() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void after(long millis, Runnable then) {
        process.loop().after(millis, then);
    }

    @Override
    public void send(String to, byte[] message) {
        InetSocketAddress at = voters.get(to);
        if (at == null) {
            return;
        }
        try {
            socket.send(ByteBuffer.wrap(message), at);
            process.wentBy(message.length);
        } catch (IOException e) {
            // Lost, as datagrams may be.
        }
    }
}
