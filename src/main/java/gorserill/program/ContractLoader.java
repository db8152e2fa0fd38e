package gorserill.program;

import gorserill.contract.Contract;
import gorserill.contract.ContractReader;
import gorserill.contract.JobRule;
import gorserill.contract.Operation;
import gorserill.contract.read.Faults;
import gorserill.contract.read.Library;
import gorserill.contract.read.NoHeadroomException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Reads the OpenAPI and AsyncAPI contracts of a node's front ends and checks them against its settings. */
final class ContractLoader {
    private static final Logger LOG = Logger.getLogger(ContractLoader.class.getName());

    private ContractLoader() {}

    /**
     * Reads a contract, unless its files still hold what the one in force was read from.
     *
     * @param key the configuration key that names the file
     * @param inForce what a running node has; {@link ContractsInForce#NONE} at the start
     * @throws ConfigException with all faults, one line each
     */
    static Contract read(
            String key, Path file, Contract.Kind kind, Map<String, JobRule> rules, ContractsInForce inForce)
            throws ConfigException {
        Contract unchanged = inForce.ifUnchanged(file, kind, rules);
        return unchanged == null ? readAnew(key, file, kind, rules, inForce) : unchanged;
    }

    private static Contract readAnew(
            String key, Path file, Contract.Kind kind, Map<String, JobRule> rules, ContractsInForce inForce)
            throws ConfigException {
        Faults faults = new Faults();
        Contract contract;
        try {
            contract = ContractReader.read(
                    () -> Library.open(file, faults, new HeapHeadroom(inForce.reservedBytes())), faults, rules);
        } catch (NoHeadroomException e) {
            throw new ConfigException(key, file + ": " + e.getMessage());
        }
        if (contract == null) {
            throw new ConfigException(key, faults.errors() + " faults in " + file + "\n" + faults.text());
        } else if (contract.kind() != kind) {
            throw new ConfigException(key, file + " is a contract of kind " + contract.kind() + ", expected " + kind);
        }
        for (Operation operation : contract.operations()) {
            if (operation.acts() && !operation.submits()) {
                throw new ConfigException(
                        key,
                        operation.place() + ": " + operation.id()
                                + " submits jobs and is bound to no class; add x-gorserill-class, one of "
                                + rules.keySet());
            }
        }
        faults.all().forEach(warning -> LOG.log(Level.WARNING, "{0}", warning));
        return contract;
    }

    /** The class of each queue that the contract names without a parameter in its address. */
    static Map<String, String> classesByQueue(Contract contract) {
        Map<String, String> queues = new LinkedHashMap<>();
        for (Operation operation : contract.operations()) {
            if (!operation.address().contains("{")) {
                queues.put(operation.address(), operation.terms().className());
            }
        }
        return queues;
    }
}
