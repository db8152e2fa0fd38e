/** The service address: one node announces itself as the way in, and another when it goes. */
package gorserill.cluster.address;
