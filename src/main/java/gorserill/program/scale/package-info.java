/**
 * Runs of scale on one machine: real processes of the program beside hollow workers and nodes, what they cost
 * against their number, and whether the rules held meanwhile. Times are milliseconds where not said.
 */
package gorserill.program.scale;
