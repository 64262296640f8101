/**
 * The entries of the shard log about tasks and their encoding.
 */
package io.lentilstream.tasks.log;
