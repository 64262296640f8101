/**
 * Election of the process that drives the jobs.
 */
package io.lentilstream.control.leadership;
