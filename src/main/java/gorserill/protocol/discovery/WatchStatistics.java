package gorserill.protocol.discovery;

/** Counters of a node's calls to discovery since the start of the process. For the loop's thread. */
public final class WatchStatistics {
    private long calls;
    private long answered;
    private long turnedAway;
    private long failed;
    private long silent;
    private long superseded;
    private long lateAnswers;

    /** Counts a connection that is opened for calls. */
    public void countCall() {
        calls++;
    }

    /** Counts an answer that was received completely. */
    public void countAnswered() {
        answered++;
    }

    /** Counts a call that discovery rejected because it was overloaded. */
    public void countTurnedAway() {
        turnedAway++;
    }

    /** Counts a call that failed otherwise. */
    public void countFailed() {
        failed++;
    }

    /** Counts a call without an answer within its time limit. */
    public void countSilent() {
        silent++;
    }

    /** Counts a call that was replaced by another one while it was open. */
    public void countSuperseded() {
        superseded++;
    }

    /** Counts a superseded call that still returned changes. */
    public void countLateAnswer() {
        lateAnswers++;
    }

    public long calls() {
        return calls;
    }

    public long answered() {
        return answered;
    }

    public long turnedAway() {
        return turnedAway;
    }

    public long failed() {
        return failed;
    }

    public long silent() {
        return silent;
    }

    public long superseded() {
        return superseded;
    }

    public long lateAnswers() {
        return lateAnswers;
    }
}
