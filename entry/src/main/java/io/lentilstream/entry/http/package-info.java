/**
 * HTTP routes of the entry daemon.
 */
package io.lentilstream.entry.http;
