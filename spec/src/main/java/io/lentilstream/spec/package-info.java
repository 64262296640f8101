/**
 * Checks of the formal specification.
 */
package io.lentilstream.spec;
