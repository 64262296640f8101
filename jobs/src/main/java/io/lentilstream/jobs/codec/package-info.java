/**
 * Codecs for stored job data.
 */
package io.lentilstream.jobs.codec;
