package gorserill.program;

import gorserill.contract.Contract;
import gorserill.contract.JobRule;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.faktory.FaktorySettings;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the Faktory front end's settings file: address, password, and the class of each queue and job type. */
final class FaktoryConfig {
    private FaktoryConfig() {}

    /** Reads and checks the file; null if it does not exist or does not enable the front end. */
    static FaktorySettings read(
            Path file,
            List<String> classNames,
            Map<String, JobClassInfo> classes,
            Map<String, JobRule> rules,
            ContractsInForce inForce)
            throws ConfigException {
        Map<String, String> values = JsonFlattener.readIfEnabled(file);
        if (values == null) {
            return null;
        } else if (!values.containsKey("listen")) {
            throw new ConfigException(file + ": listen", "is missing");
        }
        Map<String, String> queues = new LinkedHashMap<>();
        Contract contract = null;
        if (values.containsKey("asyncapi")) {
            contract = ContractLoader.read(
                    file + ": asyncapi",
                    file.resolveSibling(values.get("asyncapi")),
                    Contract.Kind.ASYNCAPI,
                    rules,
                    inForce);
            queues.putAll(ContractLoader.classesByQueue(contract));
        }
        for (Map.Entry<String, String> queue :
                readBindings(file, values, "queues", classes).entrySet()) {
            if (contract != null && !queue.getValue().equals(queues.get(queue.getKey()))) {
                throw new ConfigException(
                        file + ": queues." + queue.getKey(),
                        "is not what "
                                + values.get("asyncapi")
                                + " says of this queue; leave it out here, or describe it there");
            }
            queues.put(queue.getKey(), queue.getValue());
        }
        Map<String, String> jobtypes = readBindings(file, values, "jobtypes", classes);
        if (queues.isEmpty() && jobtypes.isEmpty()) {
            throw new ConfigException(file + ": queues", "is missing, and so is jobtypes: nothing is bound");
        }
        return new FaktorySettings(
                NodeConfig.address(values.get("listen"), file + ": listen"),
                values.getOrDefault("password", ""),
                queues,
                jobtypes,
                classNames,
                classes,
                contract);
    }

    private static Map<String, String> readBindings(
            Path file, Map<String, String> values, String section, Map<String, JobClassInfo> classes)
            throws ConfigException {
        Map<String, String> bindings = new LinkedHashMap<>();
        for (Map.Entry<String, String> value : values.entrySet()) {
            if (value.getKey().startsWith(section + ".")) {
                if (!classes.containsKey(value.getValue())) {
                    throw new ConfigException(
                            file + ": " + value.getKey(),
                            "class '" + value.getValue() + "' is not among the settings' " + classes.keySet());
                }
                bindings.put(value.getKey().substring(section.length() + 1), value.getValue());
            }
        }
        return bindings;
    }
}
