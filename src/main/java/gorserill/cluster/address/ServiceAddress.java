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
 * Announces this node as the way in while it owns the address. What stood there before stays until the next
 * owner puts its own in its place, so by a planned end there is no time without one. Danger: an owner that
 * was stalled on its way to the registry wakes up late; a registry that looks at epochs turns it away, at any
 * other the owner's next announcement, which comes each {@code refresh}, puts that right.
 */
public final class ServiceAddress implements PieceHandler {
    private static final long AGAIN = 50;

    private final String value;
    private final long refresh;
    private final ClusterEnvironment ground;
    private final Announcer announcer;
    private final BiConsumer<Long, String> teller;
    private Member member;
    private String piece;
    /** The epoch that is gone by; 0 where the address is not this node's. */
    private long epoch;

    private boolean busy;
    private Runnable whenIdle;

    /**
     * @param value this node's own address, for clients
     * @param refresh milliseconds between announcements
     * @param teller hears the epoch and what was done, for the log
     */
    public ServiceAddress(
            String value,
            long refresh,
            ClusterEnvironment ground,
            Announcer announcer,
            BiConsumer<Long, String> teller) {
        this.value = value;
        this.refresh = refresh;
        this.ground = ground;
        this.announcer = announcer;
        this.teller = teller;
    }

    /** The member that claims; to be told before it starts. */
    public void setMember(Member its) {
        member = its;
    }

    /** Tells whether clients are sent elsewhere, as far as is known. */
    public void checkAnnouncedElsewhere(Consumer<Boolean> then) {
        if (piece == null) {
            then.accept(true);
        } else {
            announcer.lookUp(at -> then.accept(at != null && !at.equals(value)));
        }
    }

    @Override
    public void owns(String its, long under, long last, SortedSet<Long> unknown) {
        piece = its;
        epoch = under;
        whenIdle = null;
        busy = false;
        teller.accept(under, "owned from here on");
        // What an owner before may have announced is gone by what this one does.
        unknown.forEach(act -> member.done(its, under, act));
        claim(under, last + 1);
    }

    private boolean holds(long under) {
        return epoch == under && whenIdle == null && member.epoch(piece) == under;
    }

    private void claim(long under, long act) {
        if (!holds(under)) {
            return;
        }
        member.claim(piece, act, false, answer -> {
            if (answer == ClaimResult.GRANTED) {
                announce(under, act);
            } else {
                // Danger: a number that an owner before has used is no reason to leave the address
                // unannounced.
                ground.after(AGAIN, () -> claim(under, answer == ClaimResult.REFUSED ? act + 1 : act));
            }
        });
    }

    /** @param act that is claimed and to be closed; 0 where it was before */
    private void announce(long under, long act) {
        if (!holds(under)) {
            closed(under, act);
            return;
        }
        busy = true;
        announcer.announce(value, under, told -> {
            if (epoch == under) {
                busy = false;
            }
            if (act > 0 || told == AnnounceResult.TOO_LATE) {
                teller.accept(under, told == AnnounceResult.DONE ? "announced " + value : "not announced: " + told);
            }
            if (told == AnnounceResult.DONE) {
                closed(under, act);
            }
            if (epoch == under && whenIdle != null) {
                whenIdle.run();
            } else if (told != AnnounceResult.TOO_LATE) {
                ground.after(
                        told == AnnounceResult.DONE ? refresh : AGAIN,
                        () -> announce(under, told == AnnounceResult.DONE ? 0 : act));
            }
        });
    }

    private void closed(long under, long act) {
        if (act > 0) {
            member.done(piece, under, act);
        }
    }

    @Override
    public void handOver(String its, long under, Runnable then) {
        if (epoch == under && busy) {
            whenIdle = then;
        } else {
            then.run();
        }
    }

    @Override
    public void lost(String its, long under) {
        if (epoch == under) {
            epoch = 0;
            teller.accept(under, "owned no more");
        }
    }
}
