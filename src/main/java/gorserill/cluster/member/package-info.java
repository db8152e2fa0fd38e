/**
 * A node's part in the cluster: its life in the register, its lease, what it owns, and the acts that it
 * claims; at a voter also the desk that serves the others while it leads.
 */
package gorserill.cluster.member;
