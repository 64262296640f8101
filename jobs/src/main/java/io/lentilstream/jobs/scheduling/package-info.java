/**
 * Scheduling of tasks on VMs. A single scheduler is responsible for all jobs of its VMs.
 * It receives submissions, reports and command results, and issues commands. It performs
 * no I/O, has no threads, clock or randomness of its own, and may be used by only one
 * thread at a time.
 */
package io.lentilstream.jobs.scheduling;
