/**
 * Conversion of the settings in force to the forms that the components of the daemon use.
 */
package io.lentilstream.entry.settings;
