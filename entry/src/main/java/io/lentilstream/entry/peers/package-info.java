/**
 * Carries out the decisions about peers and settings in force.
 */
package io.lentilstream.entry.peers;
