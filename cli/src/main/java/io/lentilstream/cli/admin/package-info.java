/**
 * Commands that call the administration API of an entry VM.
 */
package io.lentilstream.cli.admin;
