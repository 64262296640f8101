/**
 * One term of leadership: loading, scheduling and storing jobs, and tracking VMs.
 */
package io.lentilstream.control.term;
