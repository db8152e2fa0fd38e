/**
 * Soak runs: real processes of the program between workers, clients and a discovery of the run's own, under faults
 * drawn from a seed, and each rule checked from outside.
 */
package gorserill.program.soak;
