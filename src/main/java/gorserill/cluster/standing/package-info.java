/** Standing jobs: work that the fleet does at set times, each time at one node; free of I/O. */
package gorserill.cluster.standing;
