/** Who owns which piece of the fleet's work, as the replicated log has it; free of I/O, clock and chance. */
package gorserill.cluster.ownership;
