package gorserill.contract;

import gorserill.contract.read.Spot;
import gorserill.contract.schema.SchemaBundle;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What descriptions of either kind have in common while they are read. */
abstract class Description {
    final Spot root;
    final Learner learner;
    final SchemaBundle schemas;
    /** Operations by address, each with its method; "" for messages. */
    final Templates<Map<String, Operation>> templates = new Templates<>();

    final List<Operation> operations = new ArrayList<>();
    /** Where each name of an operation was said first. */
    final Map<String, Spot> ids = new HashMap<>();

    /** @param rules of the settings by class; null where there are none to go by */
    Description(Spot root, Map<String, JobRule> rules) {
        this.root = root;
        learner = new Learner(rules);
        schemas = new SchemaBundle(root.faults(), root.headroom());
    }

    /** Gathers the operations; called once. */
    abstract void gather();

    /**
     * Reads all of it.
     *
     * @param word that says the version
     * @param spoken versions, as a regular expression
     * @param remedy for others
     * @return null where it is of a version that is not spoken; what is faulty in it its faults tell
     */
    final Contract read(Contract.Kind kind, String word, String spoken, String remedy) {
        String version = root.text(word);
        if (version == null || !version.matches(spoken)) {
            root.raw(word).error(word + " '" + version + "' is not spoken", remedy);
            return null;
        }
        Learner.spelling(root);
        Spot info = root.get("info");
        if (info == null) {
            root.error("'info' is missing", "add it with title and version");
        }
        String title = info == null ? null : info.needed("title", "give the description a title");
        String its = info == null ? null : info.needed("version", "give the description a version");
        gather();
        schemas.findLoops();
        return new Contract(kind, title, its, root.sourceFiles(), operations, templates, schemas);
    }
}
