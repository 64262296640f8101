/**
 * Beliefs about which VMs fail tasks for reasons of their own.
 */
package io.lentilstream.jobs.reliability;
