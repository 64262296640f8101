/**
 * One term of leadership: the jobs, VMs and changes that the leader follows.
 */
package io.lentilstream.control.term;
