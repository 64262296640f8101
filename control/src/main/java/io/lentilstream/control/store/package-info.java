/**
 * The interface to the durable key-value store, and helpers that read and watch it.
 */
package io.lentilstream.control.store;
