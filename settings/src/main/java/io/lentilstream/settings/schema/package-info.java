/**
 * Typed schema and validation of the settings that operators change.
 */
package io.lentilstream.settings.schema;
