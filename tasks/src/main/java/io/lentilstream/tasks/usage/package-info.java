/**
 * Estimators of the resource usage of tasks and of the interference between them, based
 * on the reports of workers.
 */
package io.lentilstream.tasks.usage;
