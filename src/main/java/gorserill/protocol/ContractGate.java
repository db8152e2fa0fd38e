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

/** Checks the requests of a frontend against its contract and keeps the contract version of each accepted request. */
public final class ContractGate {
    private final Loop loop;
    private final Versions versions;
    private final ThrottledWarnings warnings;

    /**
     * @param repeatWindow how long a contract version still recognizes retries after it was replaced, in microseconds
     * @param warnings receives workers' responses that violate the contract
     */
    public ContractGate(Loop loop, long repeatWindow, ThrottledWarnings warnings) {
        this.loop = loop;
        this.warnings = warnings;
        versions = new Versions(repeatWindow);
    }

    /** Whether a contract is in force. */
    public boolean hasContract() {
        return versions.current() != null;
    }

    /** Puts a contract in force; null for none. Returns whether that is a change. */
    public boolean replace(Contract contract) {
        return versions.replace(contract, loop.now());
    }

    /** The version in force and older versions still in use, newest first. */
    public List<Version> retainedVersions() {
        return versions.kept();
    }

    /** Describes each version on a line of its own, the one in force first. */
    public String describe(String frontend) {
        StringBuilder text = new StringBuilder();
        for (Version version : versions.kept()) {
            Contract contract = version.contract();
            text.append(frontend)
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
        return text.length() == 0 ? frontend + " no contract\n" : text.toString();
    }

    /** Checks a request; must be called only if a contract is in force. */
    public Admission admit(boolean mayBeRetry, Function<Contract, Verdict> decide) {
        return versions.admit(loop.now(), mayBeRetry, decide);
    }

    /** Binds an accepted request to its contract version; the result must be passed to the core immediately. */
    public JobContract bind(Admission admission, String id) {
        versions.taken(admission);
        return new AdmittedJobContract(admission.version(), admission.verdict(), id);
    }

    /**
     * The contract version under which a request was accepted, even if another version is put in force while the
     * request is open.
     */
    private final class AdmittedJobContract implements JobContract {
        private final Version version;
        private final Verdict verdict;
        private final String id;

        AdmittedJobContract(Version version, Verdict verdict, String id) {
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
            warnings.add(operation.id(), "request " + id + ": " + fault);
            return answers != Answers.ENFORCE;
        }

        @Override
        public void release() {
            versions.over(version, loop.now());
        }
    }
}
