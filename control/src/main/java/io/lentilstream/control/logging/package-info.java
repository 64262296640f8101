/**
 * Structured log lines on standard output.
 */
package io.lentilstream.control.logging;
