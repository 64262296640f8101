/**
 * Prediction of the run times of tasks.
 */
package io.lentilstream.jobs.runtime;
