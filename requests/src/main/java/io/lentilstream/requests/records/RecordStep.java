package io.lentilstream.requests.records;

import java.util.List;

/**
 * Is the result of an input to {@link RequestRecords}. The entries are appended to the
 * shard log as one append. Once they are durable, {@link RequestRecords#commitCompleted}
 * is called with the id and then the actions are carried out; if the log refused them,
 * {@link RequestRecords#commitRejected} is called and the actions are dropped. Without
 * entries the actions are carried out at once and neither is called.
 *
 * @param id the id of the step
 * @param entries the entries that must be durable first
 * @param actions the actions to carry out then
 */
public record RecordStep(long id, List<byte[]> entries, List<RecordAction> actions) {
}
