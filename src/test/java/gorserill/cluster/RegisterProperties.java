package gorserill.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import gorserill.cluster.ownership.Register.CommandResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * The guarantees of the register hold after each entry of a random sequence, and a restored snapshot
 * continues with the same state.
 */
class RegisterProperties {
    private static final List<String> PIECES = List.of("a", "b", "c");

    private static Entry randomEntry(SplittableRandom random, Register register) {
        String node = "n" + random.nextInt(5);
        String piece = PIECES.get(random.nextInt(3));
        Register.Node registered = register.nodes().get(node);
        Register.Piece current = register.pieces().get(piece);
        long life = registered == null ? 1 : registered.life - (random.nextInt(5) == 0 ? 1 : 0);
        long epoch = current == null ? 1 : current.epoch - (random.nextInt(4) == 0 ? 1 : 0);
        long act = (current == null ? 0 : current.last) + random.nextInt(4) - 1;
        return switch (random.nextInt(10)) {
            case 0, 1 -> {
                int process = random.nextInt(6);
                yield new Entry.Open(
                        node,
                        node + "/" + process,
                        process,
                        "1",
                        PIECES.subList(0, 1 + random.nextInt(3)),
                        Entry.FORMAT);
            }
            case 2 -> new Entry.Close(node, life, "left");
            case 3 -> new Entry.Leave(node, life, random.nextBoolean());
            case 4 -> new Entry.Yield(piece, epoch);
            case 5 -> new Entry.Transfer(piece, random.nextBoolean() ? node : "");
            case 6, 7, 8 -> new Entry.Claim(piece, epoch, act, random.nextInt(3) == 0);
            default -> new Entry.Done(piece, epoch, act);
        };
    }

    @Property(tries = 300, seed = "5")
    void guaranteesHoldAfterEachEntry(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Register register = new Register(Set.of());
        Register copy = new Register(Set.of());
        Map<String, Long> epochs = new HashMap<>();
        Map<String, String> owners = new HashMap<>();
        Set<String> claimed = new HashSet<>();
        for (int i = 1; i <= 300; i++) {
            Entry entry = randomEntry(random, register);
            Set<Long> unknown =
                    entry instanceof Entry.Claim claim && register.pieces().containsKey(claim.piece())
                            ? new HashSet<>(register.pieces().get(claim.piece()).unknown)
                            : Set.of();
            CommandResult answer = (CommandResult) register.apply(i, Register.text(entry));
            assertEquals(answer, copy.apply(i, Register.text(entry)), "same entry, same result");
            if (i == 150) {
                String text = copy.snapshot();
                copy = new Register(Set.of());
                copy.restore(text);
            }
            assertEquals(register.snapshot(), copy.snapshot());
            if (entry instanceof Entry.Claim claim && answer.accepted()) {
                String act = claim.piece() + "#" + claim.act() + " under " + claim.epoch();
                boolean again = claim.again() && unknown.contains(claim.act());
                boolean first = claimed.add(claim.piece() + "#" + claim.act());
                assertTrue(first || again || claimed.contains(act), act + " was claimed under another epoch before");
                claimed.add(act);
            }
            register.pieces().forEach((name, piece) -> {
                long before = epochs.getOrDefault(name, 0L);
                assertTrue(piece.epoch >= before, name + " has a lower epoch than before: " + before);
                if (piece.epoch == before && !piece.owner.isEmpty()) {
                    assertEquals(owners.get(name), piece.owner, "another owner under the same epoch");
                }
                if (!piece.owner.isEmpty()) {
                    assertTrue(register.nodes().containsKey(piece.owner), "owner without a live node: " + name);
                    owners.put(name, piece.owner);
                } else {
                    assertTrue(register.preferredOwner(name) == null, "no owner although a node is eligible: " + name);
                }
                epochs.put(name, piece.epoch);
                assertTrue(piece.open.size() <= Register.MAX_OPEN_ACTS
                        && piece.open.keySet().containsAll(piece.unknown));
            });
        }
    }

    /** A node that joins takes over pieces only for itself. */
    @Property(tries = 50, seed = "5")
    void joiningNodeMovesPiecesOnlyToItself(@ForAll long seed) {
        Register register = new Register(Set.of());
        List<String> pieces = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            pieces.add("p" + i + "/" + seed);
        }
        for (int n = 0; n < 6; n++) {
            register.apply(n + 1, Register.text(new Entry.Open("n" + n, "x", 1, "1", pieces, 2)));
        }
        Map<String, String> before = new HashMap<>();
        pieces.forEach(piece -> before.put(piece, register.preferredOwner(piece)));
        register.apply(10, Register.text(new Entry.Open("new", "x", 1, "1", pieces, 2)));
        long moved = pieces.stream()
                .filter(piece -> !register.preferredOwner(piece).equals(before.get(piece)))
                .count();
        pieces.forEach(piece -> assertTrue(Set.of(before.get(piece), "new").contains(register.preferredOwner(piece))));
        assertTrue(moved > 0 && moved < 25, moved + " of 60 moved");
        assertFalse(new HashSet<>(before.values()).size() < 4, "pieces are not spread: " + before.values());
    }
}
