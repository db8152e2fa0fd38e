/** Rate limiting of load probes, for workers that report their load only when probed; no I/O, no clock. */
package barrowflow.probing;
