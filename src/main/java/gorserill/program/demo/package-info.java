/**
 * The demo, and fake servers for a node's dependencies: worker, discovery and address registry. They implement the
 * platform's protocol for demo, drills and tests, and listen on loopback only.
 */
package gorserill.program.demo;
