/** Messages between nodes, over UDP: who sent one and who gets one. What they say is the module's business. */
package gorserill.protocol.peers;
