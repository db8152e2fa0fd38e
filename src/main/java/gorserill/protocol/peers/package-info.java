/**
 * Messages between nodes over UDP: delivery and identification of the sender. The decision module interprets their
 * content.
 */
package gorserill.protocol.peers;
