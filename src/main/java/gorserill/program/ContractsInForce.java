package gorserill.program;

import gorserill.contract.Contract;
import gorserill.contract.JobRule;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * What reading contracts again starts from: those that the node already has, and the memory that its requests need.
 *
 * @param rules the job rules that the contracts were checked against
 * @param reservedBytes memory of the heap that must stay free meanwhile
 */
record ContractsInForce(List<Contract> contracts, Map<String, JobRule> rules, LongSupplier reservedBytes) {
    /** Memory for everything but bodies of requests. */
    private static final long WORKING_BYTES = 2 << 20;

    /** For a start, when there is no contract and no request yet. */
    static final ContractsInForce NONE = new ContractsInForce(List.of(), Map.of(), () -> WORKING_BYTES);

    /** @param unusedBodyBytes the part of the memory for bodies that requests may still take */
    static ContractsInForce of(NodeConfig config, LongSupplier unusedBodyBytes) {
        List<Contract> contracts = Stream.of(config.contract, config.faktory == null ? null : config.faktory.contract())
                .filter(Objects::nonNull)
                .toList();
        return new ContractsInForce(contracts, config.jobRules(), () -> WORKING_BYTES + unusedBodyBytes.getAsLong());
    }

    /** Returns the contract that reading this file would give again, or null. */
    Contract ifUnchanged(Path file, Contract.Kind kind, Map<String, JobRule> newRules) {
        if (!newRules.equals(rules)) {
            return null;
        }
        for (Contract contract : contracts) {
            if (contract.kind() == kind && contract.sourceFiles().stillDescribe(file)) {
                return contract;
            }
        }
        return null;
    }
}
