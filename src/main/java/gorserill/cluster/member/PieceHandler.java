package gorserill.cluster.member;

import java.util.Map;
import java.util.SortedSet;

/** Callbacks about the pieces that this node owns; called on the thread of the member. */
public interface PieceHandler {
    /** Dispatches to the handler of each piece by its name. */
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
     * This node has become the owner of the piece.
     *
     * @param last the highest act number claimed by any owner
     * @param unknown acts claimed under an earlier epoch whose outcome is not known
     */
    void owns(String piece, long epoch, long last, SortedSet<Long> unknown);

    /**
     * The piece is to move to another node: no new act may be claimed, and {@code then} is to be run once all
     * current ones have ended.
     */
    void handOver(String piece, long epoch, Runnable then);

    /** This node no longer owns the piece, or can't be sure that it does: all work for it must stop. */
    void lost(String piece, long epoch);
}
