/**
 * The command-line interface: argument parsing, exit statuses and the top-level commands.
 */
package io.lentilstream.cli;
