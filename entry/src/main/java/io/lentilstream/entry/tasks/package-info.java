/**
 * Carries out the decisions about tasks.
 */
package io.lentilstream.entry.tasks;
