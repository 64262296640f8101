/**
 * Polling of the VM directory and the state derived from the VM lists.
 */
package io.lentilstream.entry.directory;
