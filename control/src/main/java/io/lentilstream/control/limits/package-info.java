/**
 * Limits on what all clients together may make a process hold.
 */
package io.lentilstream.control.limits;
