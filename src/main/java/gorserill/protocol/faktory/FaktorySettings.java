package gorserill.protocol.faktory;

import gorserill.contract.Contract;
import gorserill.protocol.JobClassInfo;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the Faktory front goes by.
 *
 * @param password empty for none
 * @param queues the class of each queue, by name
 * @param jobtypes the class of each job type; it goes before the queue's
 * @param classNames the settings' classes, by place
 * @param classes their terms, by name
 * @param contract that jobs are held against; null for none
 */
public record FaktorySettings(
        InetSocketAddress listen,
        String password,
        Map<String, String> queues,
        Map<String, String> jobtypes,
        List<String> classNames,
        Map<String, JobClassInfo> classes,
        Contract contract) {

    /**
     * The class of a job, or null.
     *
     * @param described what its contract says; null where that says nothing
     */
    JobClassInfo classOf(FaktoryJob job, String described) {
        String queued = described == null ? queues.get(job.queue()) : described;
        String name = jobtypes.getOrDefault(job.jobtype(), queued);
        return name == null ? null : classes.get(name);
    }

    /** The queue for work of a class that came by another road: the first bound to it, or its own name. */
    String queueFor(int jobClass) {
        return first(queues, jobClass);
    }

    String jobtypeFor(int jobClass) {
        return first(jobtypes, jobClass);
    }

    private String first(Map<String, String> bound, int jobClass) {
        String name = classNames.get(jobClass);
        for (Map.Entry<String, String> entry : new LinkedHashMap<>(bound).entrySet()) {
            if (entry.getValue().equals(name)) {
                return entry.getKey();
            }
        }
        return name;
    }
}
