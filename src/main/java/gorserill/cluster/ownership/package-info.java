/**
 * The ownership of the pieces of work as recorded in the replicated log; free of I/O, clock and randomness.
 */
package gorserill.cluster.ownership;
