/**
 * Jobs as callers submit them, the policies of their queues, their stored progress, and
 * the commands and reports that the scheduler exchanges with VMs.
 */
package io.lentilstream.jobs;
