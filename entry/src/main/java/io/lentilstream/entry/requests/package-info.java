/**
 * I/O driver of the request scheduler.
 */
package io.lentilstream.entry.requests;
