package gorserill.contract;

import gorserill.contract.read.SourceFiles;
import gorserill.contract.schema.SchemaBundle;
import java.util.List;
import java.util.Map;

/**
 * A description that was read and found sound. It never changes; a changed description is another contract.
 */
public final class Contract {
    /** Which kind of description it was. */
    public enum Kind {
        OPENAPI,
        ASYNCAPI
    }

    private final Kind kind;
    private final String title;
    private final String version;
    private final SourceFiles sourceFiles;
    private final SchemaBundle schemas;
    private final List<Operation> operations;
    private final Templates<Map<String, Operation>> byAddress;

    /**
     * @param sourceFiles the files that it was read from
     * @param byAddress operations by method; by "" for channels
     */
    Contract(
            Kind kind,
            String title,
            String version,
            SourceFiles sourceFiles,
            List<Operation> operations,
            Templates<Map<String, Operation>> byAddress,
            SchemaBundle schemas) {
        this.schemas = schemas;
        this.sourceFiles = sourceFiles;
        this.kind = kind;
        this.title = title;
        this.version = version;
        this.operations = List.copyOf(operations);
        this.byAddress = byAddress;
    }

    public Kind kind() {
        return kind;
    }

    public String title() {
        return title;
    }

    /** The description's own version. */
    public String version() {
        return version;
    }

    /**
     * Makes all validators, before another thread may use it. Danger: left until they are needed, they are
     * made on the one thread that serves everybody.
     */
    void prepare() {
        schemas.prepare();
    }

    /** The same for the same text only: SHA-256 in hexadecimal. */
    public String fingerprint() {
        return sourceFiles.fingerprint();
    }

    /** The files that it was read from. */
    public SourceFiles sourceFiles() {
        return sourceFiles;
    }

    /** In the order of the description. */
    public List<Operation> operations() {
        return operations;
    }

    Templates.Match<Map<String, Operation>> find(String rawPath) {
        return byAddress.find(rawPath);
    }
}
