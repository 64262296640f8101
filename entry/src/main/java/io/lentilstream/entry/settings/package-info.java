/**
 * Turns the settings in force into what the parts of the daemon use.
 */
package io.lentilstream.entry.settings;
