/** The command line, on picocli. A node that is started as {@code serve} alone loads none of it. */
package gorserill.program.command;
