/**
 * The command line.
 */
package io.lentilstream.cli;
