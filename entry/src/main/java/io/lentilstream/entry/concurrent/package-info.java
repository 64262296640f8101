/**
 * Executors of the entry daemon.
 */
package io.lentilstream.entry.concurrent;
