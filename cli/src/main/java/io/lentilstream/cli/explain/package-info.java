/**
 * Explains what became of a job from the logs of several processes.
 */
package io.lentilstream.cli.explain;
