/**
 * Election of the leader, the process that schedules the jobs.
 */
package io.lentilstream.control.leadership;
