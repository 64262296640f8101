/**
 * Routing of calls about deferrable requests and jobs to the owner of their shard, and
 * their handling there.
 */
package io.lentilstream.entry.calls;
