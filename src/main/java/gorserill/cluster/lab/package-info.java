/**
 * Simulation of the cluster in virtual time: the program's own members run on simulated clocks, network and
 * storage, into which faults are injected.
 */
package gorserill.cluster.lab;
