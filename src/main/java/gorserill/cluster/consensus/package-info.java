/**
 * The replicated log: MicroRaft (Raft; Ongaro and Ousterhout, 2014) on the member's own thread, clock, wire
 * and store. What the log means is not known here.
 */
package gorserill.cluster.consensus;
