/**
 * Accounting of where the time of tasks and jobs goes. It decides nothing.
 */
package io.lentilstream.jobs.accounting;
