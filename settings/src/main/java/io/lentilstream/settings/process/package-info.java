/**
 * Settings of the processes, read from INI files.
 */
package io.lentilstream.settings.process;
