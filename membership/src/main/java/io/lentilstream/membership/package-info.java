/**
 * Membership of the entry VMs: failure detection by heartbeats, and propagation of
 * settings.
 */
package io.lentilstream.membership;
