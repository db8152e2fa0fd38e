package gorserill.contract;

import gorserill.contract.read.Faults;
import gorserill.contract.read.Spot;
import gorserill.contract.read.Value.Kind;
import java.util.Map;
import java.util.function.Supplier;

/** Makes a contract of a description of either kind. */
public final class ContractReader {
    private ContractReader() {}

    /**
     * Checks a description and learns from it. Its faults hear of all that is wrong.
     *
     * @param description opens it; gives null where there is nothing to read
     * @param rules of the settings by class; null where there are none to go by
     * @return null where the description can't be used
     * @throws gorserill.contract.read.NoHeadroomException if it needs more memory than there is
     */
    public static Contract read(Supplier<Spot> description, Faults faults, Map<String, JobRule> rules) {
        // The tree of the description is unreachable once this returns, before the validators are made.
        Contract contract = describe(description.get(), rules);
        if (contract != null && faults.sound()) {
            contract.prepare();
        }
        return faults.sound() ? contract : null;
    }

    private static Contract describe(Spot root, Map<String, JobRule> rules) {
        if (root == null || !root.must(Kind.OBJECT)) {
            return null;
        }
        Contract contract = null;
        if (root.raw("openapi") != null) {
            contract = new OpenApi(root, rules).read();
        } else if (root.raw("asyncapi") != null) {
            contract = new AsyncApi(root, rules).read();
        } else if (root.raw("swagger") != null) {
            root.error("Swagger 2.0 is not spoken", "convert it to OpenAPI 3.0 or 3.1");
        } else {
            root.error("neither 'openapi' nor 'asyncapi' is said", "begin with openapi: 3.1.0 or asyncapi: 3.0.0");
        }
        return contract;
    }
}
