/** What dispatchers tell one another where they may: when, what, and what is believed. No I/O, no clock. */
package barrowflow.gossip;
