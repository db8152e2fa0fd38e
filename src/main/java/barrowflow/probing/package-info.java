/** When a worker is asked for its load, where load reports come by probe alone; no I/O, no clock. */
package barrowflow.probing;
