/**
 * Decisions for requests.
 */
package io.lentilstream.requests;
