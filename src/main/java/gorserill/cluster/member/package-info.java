/**
 * Membership of a node: its life in the register, its lease, its pieces and its claims; on a voter also the
 * service for the other members while it leads.
 */
package gorserill.cluster.member;
