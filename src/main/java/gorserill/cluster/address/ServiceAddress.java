package gorserill.cluster.address;

import gorserill.cluster.ClusterEnvironment;
import gorserill.cluster.address.Announcer.AnnounceResult;
import gorserill.cluster.member.Member;
import gorserill.cluster.member.Member.ClaimResult;
import gorserill.cluster.member.PieceHandler;
import java.util.SortedSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Announces this node's address to clients while the node owns the service address. The former announcement
 * stays until the next owner replaces it, so a planned hand-over leaves no time without an address. The request
 * of an owner that stalled while announcing may reach the registry late: a registry that checks epochs rejects
 * it, with any other the present owner corrects it by its next periodic announcement.
 */
public final class ServiceAddress implements PieceHandler {
    private static final long RETRY_MS = 50;

    private final String value;
    private final long refreshMs;
    private final ClusterEnvironment ground;
    private final Announcer announcer;
    private final BiConsumer<Long, String> listener;
    private Member member;
    private String piece;
    /** The epoch of this node's ownership; 0 while it does not own the address. */
    private long epoch;

    private boolean announcing;
    private Runnable whenIdle;

    /**
     * @param value this node's own address, for clients
     * @param refreshMs milliseconds between announcements
     * @param listener receives the epoch and a line for the log
     */
    public ServiceAddress(
            String value,
            long refreshMs,
            ClusterEnvironment ground,
            Announcer announcer,
            BiConsumer<Long, String> listener) {
        this.value = value;
        this.refreshMs = refreshMs;
        this.ground = ground;
        this.announcer = announcer;
        this.listener = listener;
    }

    /** Sets the member through which acts are claimed. Has to be called before the member starts. */
    public void setMember(Member claimingMember) {
        member = claimingMember;
    }

    /** Passes to {@code then} whether another node's address is known to be announced, or this node never owned it. */
    public void checkAnnouncedElsewhere(Consumer<Boolean> then) {
        if (piece == null) {
            then.accept(true);
        } else {
            announcer.lookUp(announced -> then.accept(announced != null && !announced.equals(value)));
        }
    }

    @Override
    public void owns(String ownedPiece, long ownedEpoch, long last, SortedSet<Long> unknown) {
        piece = ownedPiece;
        epoch = ownedEpoch;
        whenIdle = null;
        announcing = false;
        listener.accept(ownedEpoch, "owned from here on");
        // Announcements of a former owner whose outcome is unknown are superseded by this owner's.
        unknown.forEach(act -> member.done(ownedPiece, ownedEpoch, act));
        claim(ownedEpoch, last + 1);
    }

    private boolean mayAnnounce(long ownedEpoch) {
        return epoch == ownedEpoch && whenIdle == null && member.epoch(piece) == ownedEpoch;
    }

    private void claim(long ownedEpoch, long act) {
        if (!mayAnnounce(ownedEpoch)) {
            return;
        }
        member.claim(piece, act, false, answer -> {
            if (answer == ClaimResult.GRANTED) {
                announce(ownedEpoch, act);
            } else {
                // A number that a former owner has used must not keep the address from being announced, so the
                // next number is tried.
                ground.after(RETRY_MS, () -> claim(ownedEpoch, answer == ClaimResult.REFUSED ? act + 1 : act));
            }
        });
    }

    /** @param act the claimed act that the announcement completes; 0 for a periodic announcement after that */
    private void announce(long ownedEpoch, long act) {
        if (!mayAnnounce(ownedEpoch)) {
            completeAct(ownedEpoch, act);
            return;
        }
        announcing = true;
        announcer.announce(value, ownedEpoch, result -> {
            if (epoch == ownedEpoch) {
                announcing = false;
            }
            if (act > 0 || result == AnnounceResult.TOO_LATE) {
                listener.accept(
                        ownedEpoch, result == AnnounceResult.DONE ? "announced " + value : "not announced: " + result);
            }
            if (result == AnnounceResult.DONE) {
                completeAct(ownedEpoch, act);
            }
            if (epoch == ownedEpoch && whenIdle != null) {
                whenIdle.run();
            } else if (result != AnnounceResult.TOO_LATE) {
                ground.after(
                        result == AnnounceResult.DONE ? refreshMs : RETRY_MS,
                        () -> announce(ownedEpoch, result == AnnounceResult.DONE ? 0 : act));
            }
        });
    }

    private void completeAct(long ownedEpoch, long act) {
        if (act > 0) {
            member.done(piece, ownedEpoch, act);
        }
    }

    @Override
    public void handOver(String handedPiece, long handedEpoch, Runnable then) {
        if (epoch == handedEpoch && announcing) {
            whenIdle = then;
        } else {
            then.run();
        }
    }

    @Override
    public void lost(String lostPiece, long lostEpoch) {
        if (epoch == lostEpoch) {
            epoch = 0;
            listener.accept(lostEpoch, "owned no more");
        }
    }
}
