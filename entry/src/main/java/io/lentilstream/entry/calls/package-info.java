/**
 * Finds the owner of keyed requests and jobs, here or at a peer.
 */
package io.lentilstream.entry.calls;
