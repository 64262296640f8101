/**
 * Durable records for at-most-once execution of non-repeatable requests.
 */
package io.lentilstream.requests.records;
