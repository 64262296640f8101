/**
 * Process settings and the schema of the settings that operators change.
 */
package io.lentilstream.settings;
