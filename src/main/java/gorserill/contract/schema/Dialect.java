package gorserill.contract.schema;

/** In which of the dialects that descriptions use a schema is written. */
public enum Dialect {
    /** OpenAPI 3.0's own: a subset of draft 5 with {@code nullable} (OpenAPI 3.0.4, 4.7.24). */
    OPENAPI_30(true),
    /** OpenAPI 3.1's, which is draft 2020-12 (OpenAPI 3.1.1, 4.8.24). */
    OPENAPI_31(false),
    /** AsyncAPI's, a superset of draft 7 (AsyncAPI 2.6 and 3.0, Schema Object). */
    ASYNCAPI(true);

    /** Whether what stands beside a {@code $ref} counts for nothing. */
    final boolean refStandsAlone;

    Dialect(boolean refStandsAlone) {
        this.refStandsAlone = refStandsAlone;
    }
}
