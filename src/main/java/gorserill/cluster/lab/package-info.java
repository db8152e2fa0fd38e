/**
 * The cluster in virtual time: the program's own members on clocks, a network and disks that are made to
 * fail.
 */
package gorserill.cluster.lab;
