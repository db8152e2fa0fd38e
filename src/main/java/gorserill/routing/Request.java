package gorserill.routing;

import gorserill.common.Deadlines.Deadline;
import java.util.ArrayList;
import java.util.List;

/** A request that the node has taken. */
final class Request {
    final Front front;
    final Work work;
    final long expires;
    final List<Attempt> attempts = new ArrayList<>(1);
    long handle;
    Deadline deadline;
    /** Its final answer is given, or nobody waits for one. */
    boolean over;
    int out;

    Request(Front front, Work work, long expires) {
        this.front = front;
        this.work = work;
        this.expires = expires;
    }
}
