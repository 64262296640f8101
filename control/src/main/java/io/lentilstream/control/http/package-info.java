/**
 * HTTP client and server on one event loop.
 */
package io.lentilstream.control.http;
