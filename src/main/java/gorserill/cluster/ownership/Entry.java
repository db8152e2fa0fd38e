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
    /** The newest format of entries that this build knows. */
    int FORMAT = 3;

    /** The format that brought this kind of entry. Danger: a voter that does not know it leaves it out. */
    default int format() {
        return 1;
    }

    /** A kind of entry of the second format. */
    sealed interface FormatTwo extends Entry permits Replace, Replaced, Permit, Release, RequestBudget, ReclaimShare {
        @Override
        default int format() {
            return 2;
        }
    }

    /**
     * A process of a node comes, and can own these pieces; the index of the entry becomes its life's number.
     *
     * @param process tells this process of the node from any other; the same one gets the same life again
     * @param boot rises from process to process. Danger: a word of one that is gone may come late
     * @param build of the program
     * @param format the newest that it knows; 0 of builds that did not say
     */
    record Open(String node, String process, long boot, String build, List<String> pieces, int format)
            implements Entry {}

    /** A node's life is over: it left, or was not heard for longer than its lease. */
    record Close(String node, long life, String why) implements Entry {}

    /** A node is to own nothing new and to hand over what it has; or no longer so. */
    record Leave(String node, long life, boolean leaves) implements Entry {}

    /** An owner lets go of a piece. */
    record Yield(String piece, long epoch) implements Entry {}

    /** An operator wants a piece at a node; an empty name takes that back. */
    record Transfer(String piece, String to) implements Entry {}

    /** An operator wants one node to vote in another's place; both may be one, whose disk is lost. */
    record Replace(String leaving, String coming) implements FormatTwo {}

    /** That was done; the number is the entry's that asked for it. */
    record Replaced(long entry) implements FormatTwo {}

    /**
     * A node asks to be out of service, while so many others may be.
     *
     * @param forced it is out, whatever the answer: others have to wait
     */
    record Permit(String node, int most, boolean forced) implements FormatTwo {}

    /**
     * A node says what it wants of a budget and what it keeps, in thousandths.
     *
     * @param turn rises from word to word of a life
     */
    record RequestBudget(String node, long life, String budget, int wants, int keeps, long turn) implements FormatTwo {}

    /**
     * What several nodes say, in this order: the leader puts it into the log as one entry, so that their
     * number does not decide how long others wait.
     */
    record RequestBudgets(List<RequestBudget> each) implements Entry {
        /** Danger: it may come from outside; nothing half-made may reach the register. */
        public RequestBudgets {
            each = each == null ? List.of() : List.copyOf(each);
        }

        @Override
        public int format() {
            return 3;
        }
    }

    /** What a life that was replaced had of the budgets may go to others. */
    record ReclaimShare(String ghost) implements FormatTwo {}

    /** A node is back in service, or is not to be waited for. */
    record Release(String node) implements FormatTwo {}

    /**
     * An owner is about to do an act. Acts of a piece have rising numbers.
     *
     * @param again an act whose end is not known is to be done once more; only where that does no harm
     */
    record Claim(String piece, long epoch, long act, boolean again) implements Entry {}

    /** A claimed act has ended, whoever owns the piece now. */
    record Done(String piece, long epoch, long act) implements Entry {}
}
