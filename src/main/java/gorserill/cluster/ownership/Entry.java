package gorserill.cluster.ownership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** An entry of the replicated log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Entry.Open.class, name = "open"),
    @JsonSubTypes.Type(value = Entry.Close.class, name = "close"),
    @JsonSubTypes.Type(value = Entry.Leave.class, name = "leave"),
    @JsonSubTypes.Type(value = Entry.Yield.class, name = "yield"),
    @JsonSubTypes.Type(value = Entry.Transfer.class, name = "transfer"),
    @JsonSubTypes.Type(value = Entry.Replace.class, name = "replace"),
    @JsonSubTypes.Type(value = Entry.Replaced.class, name = "replaced"),
    @JsonSubTypes.Type(value = Entry.Permit.class, name = "permit"),
    @JsonSubTypes.Type(value = Entry.Release.class, name = "release"),
    @JsonSubTypes.Type(value = Entry.RequestBudget.class, name = "say"),
    @JsonSubTypes.Type(value = Entry.RequestBudgets.class, name = "say_all"),
    @JsonSubTypes.Type(value = Entry.ReclaimShare.class, name = "bury"),
    @JsonSubTypes.Type(value = Entry.Claim.class, name = "claim"),
    @JsonSubTypes.Type(value = Entry.Done.class, name = "done")
})
public sealed interface Entry {
    /** The newest entry format that this build supports. */
    int FORMAT = 3;

    /**
     * The format that introduced this kind of entry. A voter that does not support it would skip the entry.
     */
    default int format() {
        return 1;
    }

    /** An entry introduced with format 2. */
    sealed interface FormatTwo extends Entry permits Replace, Replaced, Permit, Release, RequestBudget, ReclaimShare {
        @Override
        default int format() {
            return 2;
        }
    }

    /**
     * A process of a node opens a life and names the pieces that it can own; the index of the entry becomes
     * the number of the life.
     *
     * @param process identifies the process; the same process gets the same life again
     * @param boot increases from process to process, so that a delayed entry of an earlier process is refused
     * @param build the build of the program
     * @param format the newest format that the build supports; 0 for builds that did not state it
     */
    record Open(String node, String process, long boot, String build, List<String> pieces, int format)
            implements Entry {}

    /** Closes the life of a node that left, or was not heard for longer than its lease. */
    record Close(String node, long life, String why) implements Entry {}

    /**
     * Marks a node as leaving, so that it gets no new pieces and hands over the current ones, or withdraws
     * that.
     */
    record Leave(String node, long life, boolean leaves) implements Entry {}

    /** An owner gives up a piece. */
    record Yield(String piece, long epoch) implements Entry {}

    /** An operator assigns a piece to a node; an empty name removes the assignment. */
    record Transfer(String piece, String to) implements Entry {}

    /** An operator replaces a voter by another node, or by itself if it lost its disk. */
    record Replace(String leaving, String coming) implements FormatTwo {}

    /** A voter replacement is complete; {@code entry} is the index of the entry that requested it. */
    record Replaced(long entry) implements FormatTwo {}

    /**
     * A node requests a permit to be out of service.
     *
     * @param most the permit is refused if this many other nodes are out of service
     * @param forced the node goes out of service even if refused, and others have to wait
     */
    record Permit(String node, int most, boolean forced) implements FormatTwo {}

    /**
     * A node reports how much of a budget it wants and how much it keeps, in thousandths.
     *
     * @param turn increases with each report of a life
     */
    record RequestBudget(String node, long life, String budget, int wants, int keeps, long turn) implements FormatTwo {}

    /**
     * The budget requests of several nodes in order. The leader proposes them as one entry, so that the
     * number of nodes does not determine how long other entries wait.
     */
    record RequestBudgets(List<RequestBudget> each) implements Entry {
        /** Guards the register against a received entry without a list. */
        public RequestBudgets {
            each = each == null ? List.of() : List.copyOf(each);
        }

        @Override
        public int format() {
            return 3;
        }
    }

    /** Makes the budget shares of a replaced life available to other nodes. */
    record ReclaimShare(String ghost) implements FormatTwo {}

    /** A node is back in service, or is not to be waited for. */
    record Release(String node) implements FormatTwo {}

    /**
     * An owner claims an act before doing it. The act numbers of a piece increase.
     *
     * @param again repeats an act of unknown outcome; only where that is harmless
     */
    record Claim(String piece, long epoch, long act, boolean again) implements Entry {}

    /** A claimed act has ended, regardless of which node owns the piece now. */
    record Done(String piece, long epoch, long act) implements Entry {}
}
