/**
 * Commands that talk to the administration API of an entry VM.
 */
package io.lentilstream.cli.admin;
