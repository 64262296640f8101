/**
 * The narrow interface to the store that holds what must last.
 */
package io.lentilstream.control.store;
