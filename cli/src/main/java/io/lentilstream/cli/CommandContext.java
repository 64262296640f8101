package io.lentilstream.cli;

import java.io.PrintStream;

/**
 * The output streams of a command and the request that makes it stop.
 *
 * @param out the stream for results
 * @param err the stream for usage errors and failures
 * @param stop the stop request, which is set on SIGTERM and SIGINT
 */
public record CommandContext(PrintStream out, PrintStream err, StopRequest stop) {
}
