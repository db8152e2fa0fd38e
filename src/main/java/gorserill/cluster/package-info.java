/**
 * What the nodes of a deployment do together. Decisions here are free of I/O and of any clock but the one
 * that a {@link gorserill.cluster.ClusterEnvironment} gives them, so the same code runs in the program and in virtual
 * time.
 */
package gorserill.cluster;
