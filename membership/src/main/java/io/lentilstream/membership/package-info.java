/**
 * Membership of the entry VMs: failure detection and settings propagation.
 */
package io.lentilstream.membership;
