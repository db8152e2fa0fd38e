package gorserill.protocol.faktory;

import gorserill.contract.Contract;
import gorserill.protocol.JobClassInfo;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Settings of the Faktory frontend.
 *
 * @param listen the address on which it accepts connections
 * @param password empty if none is required
 * @param queues class names by queue name
 * @param jobtypes class names by job type; they take precedence over those of the queue
 * @param classNames names of the configured classes, by class index
 * @param classes properties of the classes, by class name
 * @param contract the contract against which jobs are validated; null for none
 */
public record FaktorySettings(
        InetSocketAddress listen,
        String password,
        Map<String, String> queues,
        Map<String, String> jobtypes,
        List<String> classNames,
        Map<String, JobClassInfo> classes,
        Contract contract) {

    /** Returns the same settings without a contract. */
    public FaktorySettings withoutContract() {
        return new FaktorySettings(listen, password, queues, jobtypes, classNames, classes, null);
    }

    /**
     * Returns the class of a job, or null if neither its job type nor its queue is bound to one.
     *
     * @param contractClass the class name that the contract gives, which takes precedence over that of the queue; null
     *     if the contract gives none
     */
    JobClassInfo classOf(FaktoryJob job, String contractClass) {
        String fallback = contractClass == null ? queues.get(job.queue()) : contractClass;
        String name = jobtypes.getOrDefault(job.jobtype(), fallback);
        return name == null ? null : classes.get(name);
    }

    /**
     * Returns the queue name for a job that was not pushed over Faktory: the first queue bound to its class, or the
     * name of the class if there is none.
     */
    String queueFor(int jobClass) {
        return firstBoundTo(queues, jobClass);
    }

    /** Returns the job type for a job that was not pushed over Faktory, by the same rule as {@link #queueFor}. */
    String jobtypeFor(int jobClass) {
        return firstBoundTo(jobtypes, jobClass);
    }

    private String firstBoundTo(Map<String, String> bindings, int jobClass) {
        String name = classNames.get(jobClass);
        for (Map.Entry<String, String> entry : new LinkedHashMap<>(bindings).entrySet()) {
            if (entry.getValue().equals(name)) {
                return entry.getKey();
            }
        }
        return name;
    }
}
