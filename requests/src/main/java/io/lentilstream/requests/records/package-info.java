/**
 * At-most-once records of requests that must not be repeated.
 */
package io.lentilstream.requests.records;
