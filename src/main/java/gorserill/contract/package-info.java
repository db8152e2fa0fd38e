/**
 * Contracts: what an OpenAPI or AsyncAPI description says of a front. It decides which operation a request is
 * for, what of it may be repeated, and whether it is let in; free of I/O, clock and wire. Both fronts use it.
 * Files are read in {@code contract.read}, schemas worked in {@code contract.schema}.
 */
package gorserill.contract;
