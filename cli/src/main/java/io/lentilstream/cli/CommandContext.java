package io.lentilstream.cli;

import java.io.PrintStream;

/**
 * Is where a command writes and how it is asked to stop.
 *
 * @param out takes results
 * @param err takes messages about mistakes and failures
 * @param stop is requested when the process is asked to stop
 */
public record CommandContext(PrintStream out, PrintStream err, StopRequest stop) {
}
