/**
 * Decisions for tasks.
 */
package io.lentilstream.tasks;
