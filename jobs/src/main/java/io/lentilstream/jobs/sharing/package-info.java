/**
 * Sharing of capacity between queues and jobs that compete for it.
 */
package io.lentilstream.jobs.sharing;
