/**
 * Decides which task runs where. One scheduler drives all jobs of its VMs. It is told of
 * submissions, reports and answers, and gives orders; it has no I/O, threads, clock or
 * randomness of its own and is used by one thread at a time.
 */
package io.lentilstream.jobs.scheduling;
