package gorserill.protocol;

import barrowflow.Dispatcher.Effect;
import gorserill.common.Loop;
import gorserill.common.ThrottledWarnings;
import gorserill.contract.Contract;
import gorserill.contract.Door;
import gorserill.contract.Operation;
import gorserill.contract.Terms.Answers;
import gorserill.contract.Verdict;
import gorserill.contract.Versions;
import gorserill.contract.Versions.Admission;
import gorserill.contract.Versions.Version;
import gorserill.routing.JobContract;
import java.util.List;
import java.util.function.Function;

/** Where a front holds its requests against its contract, and what binds those that it lets in. */
public final class ContractGate {
    private final Loop loop;
    private final Versions versions;
    private final ThrottledWarnings complaints;

    /**
     * @param repeatsFor how long a version of the contract knows its repeats after its end, microseconds
     * @param complaints hears of workers' answers that are not as described
     */
    public ContractGate(Loop loop, long repeatsFor, ThrottledWarnings complaints) {
        this.loop = loop;
        this.complaints = complaints;
        versions = new Versions(repeatsFor);
    }

    /** Whether there is a contract. */
    public boolean hasContract() {
        return versions.current() != null;
    }

    /** From now on this contract decides on what comes; null for none. Gives whether that is a change. */
    public boolean replace(Contract contract) {
        return versions.replace(contract, loop.now());
    }

    /** The version in force and those still needed, newest first. */
    public List<Version> retainedVersions() {
        return versions.kept();
    }

    /** A line for each version, the one in force first. */
    public String describe(String front) {
        StringBuilder text = new StringBuilder();
        for (Version version : versions.kept()) {
            Contract contract = version.contract();
            text.append(front)
                    .append(" version ")
                    .append(version.number())
                    .append(version == versions.current() ? " in force" : " old")
                    .append(" described=")
                    .append(contract.version().replace(' ', '_'))
                    .append(" text=")
                    .append(contract.fingerprint(), 0, 12)
                    .append(" taken=")
                    .append(version.taken())
                    .append(" open=")
                    .append(version.open())
                    .append(" bad_answers=")
                    .append(version.badAnswers());
            version.turnedAway()
                    .forEach((status, count) -> text.append(" turned_away_")
                            .append(status)
                            .append('=')
                            .append(count));
            text.append('\n');
        }
        return text.length() == 0 ? front + " no contract\n" : text.toString();
    }

    /** Decides on a request; only where there is a contract. */
    public Admission admit(boolean mayRepeat, Function<Contract, Verdict> decide) {
        return versions.admit(loop.now(), mayRepeat, decide);
    }

    /** What binds a request that was let in; to be given to the core at once. */
    public JobContract bind(Admission admission, String id) {
        versions.taken(admission);
        return new Held(admission.version(), admission.verdict(), id);
    }

    /** Keeps the version that a request was taken under, whatever is put in force while it is open. */
    private final class Held implements JobContract {
        private final Version version;
        private final Verdict verdict;
        private final String id;

        Held(Version version, Verdict verdict, String id) {
            this.version = version;
            this.verdict = verdict;
            this.id = id;
        }

        @Override
        public Effect effect() {
            return verdict.effect() == null ? Effect.SAFE : verdict.effect();
        }

        @Override
        public boolean acceptsResult(byte[] result) {
            Operation operation = verdict.operation();
            Answers answers = operation.terms().answers().value();
            String fault = answers == Answers.OFF ? null : Door.fault(operation, result == null ? new byte[0] : result);
            if (fault == null) {
                return true;
            }
            version.answeredBadly();
            complaints.add(operation.id(), "request " + id + ": " + fault);
            return answers != Answers.ENFORCE;
        }

        @Override
        public void release() {
            versions.over(version, loop.now());
        }
    }
}
