package gorserill.cluster.member;

import java.util.Map;
import java.util.SortedSet;

/** What is done with a piece that this node owns; called on the member's thread. */
public interface PieceHandler {
    /** The duty of each piece by its name. */
    static PieceHandler of(Map<String, PieceHandler> byPiece) {
        return new PieceHandler() {
            @Override
            public void owns(String piece, long epoch, long last, SortedSet<Long> unknown) {
                byPiece.get(piece).owns(piece, epoch, last, unknown);
            }

            @Override
            public void handOver(String piece, long epoch, Runnable then) {
                byPiece.get(piece).handOver(piece, epoch, then);
            }

            @Override
            public void lost(String piece, long epoch) {
                byPiece.get(piece).lost(piece, epoch);
            }
        };
    }

    /**
     * The piece is this node's from here on.
     *
     * @param last the highest act that was claimed by any owner
     * @param unknown acts that were claimed under a former epoch and whose end is not known
     */
    void owns(String piece, long epoch, long last, SortedSet<Long> unknown);

    /** The piece is to go to another node: nothing new is to be claimed; {@code then} once all has ended. */
    void handOver(String piece, long epoch, Runnable then);

    /** The piece is this node's no more, or it may be another's: nothing is to be done for it. */
    void lost(String piece, long epoch);
}
