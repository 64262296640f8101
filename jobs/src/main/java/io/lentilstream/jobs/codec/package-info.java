/**
 * Encodes jobs for the store.
 */
package io.lentilstream.jobs.codec;
