/**
 * The service address: one node announces its own address to a registry as the entry point for clients, and
 * another node takes over when it leaves.
 */
package gorserill.cluster.address;
