/**
 * The operations that a control process offers to clients: submitting, querying and
 * cancelling jobs.
 */
package io.lentilstream.control.api;
