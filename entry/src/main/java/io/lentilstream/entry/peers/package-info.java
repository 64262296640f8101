/**
 * I/O drivers for membership, settings replication and forwarded requests.
 */
package io.lentilstream.entry.peers;
