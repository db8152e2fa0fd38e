/** What dispatchers tell one another where they may: when and what, and what is believed; no I/O, no clock. */
package barrowflow.gossip;
