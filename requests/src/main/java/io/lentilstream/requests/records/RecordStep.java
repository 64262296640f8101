package io.lentilstream.requests.records;

import java.util.List;

/**
 * The result of an input to {@link RequestRecords}. The entries are written to the shard
 * log in a single append. Once they are durable, {@link RequestRecords#commitCompleted}
 * is called with the id and then the actions are performed; if the log rejects them,
 * {@link RequestRecords#commitRejected} is called and the actions are dropped. Without
 * entries the actions are performed immediately and neither method is called.
 *
 * @param id the id of the step
 * @param entries the entries that must be durable first
 * @param actions the actions to perform afterwards
 */
public record RecordStep(long id, List<byte[]> entries, List<RecordAction> actions) {
}
