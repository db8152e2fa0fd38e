/** Messages between nodes, over UDP: who sent one and who gets it. What they say is the module's matter. */
package gorserill.protocol.peers;
