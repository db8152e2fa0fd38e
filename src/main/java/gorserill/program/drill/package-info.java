/**
 * Drills: several real processes of the program on this machine, with faults between them, watched by an
 * auditor that names the first rule that is broken. All of it stays on loopback and ends by itself.
 */
package gorserill.program.drill;
