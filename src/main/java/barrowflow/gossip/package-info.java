/** State exchange between dispatchers: when to send, what to send and how to merge it. No I/O, no clock. */
package barrowflow.gossip;
