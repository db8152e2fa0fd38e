/**
 * Coordination between the nodes of a deployment. The code is free of I/O and of any clock other than that of
 * its {@link gorserill.cluster.ClusterEnvironment}, so that it runs unchanged in the program and in virtual
 * time.
 */
package gorserill.cluster;
