/**
 * The entry daemon.
 */
package io.lentilstream.entry;
