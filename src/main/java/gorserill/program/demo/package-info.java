/**
 * Stand-ins for what a node needs around it, made for this project from the platform's protocol, and the demo
 * that runs them. They listen on loopback only.
 */
package gorserill.program.demo;
