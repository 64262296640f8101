/**
 * Membership of the entry VMs: peer states by heartbeat, and propagation of settings.
 */
package io.lentilstream.membership;
