/**
 * Standing jobs: jobs that the cluster runs at scheduled times, each occurrence at one node. Free of I/O.
 */
package gorserill.cluster.standing;
