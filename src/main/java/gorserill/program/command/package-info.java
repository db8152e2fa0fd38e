/**
 * The command line, based on picocli. None of these classes is loaded when a node is started with
 * {@code serve} as its only argument.
 */
package gorserill.program.command;
