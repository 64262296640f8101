/**
 * Reconstructs the history of a job from the decision logs of several processes.
 */
package io.lentilstream.cli.explain;
