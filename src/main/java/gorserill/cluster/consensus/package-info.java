/**
 * The replicated log: MicroRaft (Raft; Ongaro and Ousterhout, 2014) on the thread, clock, network and storage
 * of the member. The content of the entries is opaque here.
 */
package gorserill.cluster.consensus;
