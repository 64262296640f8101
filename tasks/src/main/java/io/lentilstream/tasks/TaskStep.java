package io.lentilstream.tasks;

import java.util.List;

/**
 * The result of one input to a {@link TaskShard}: log entries, and actions to carry out
 * once these are durable.
 *
 * @param entries the log entries, in order; each starts with its format version
 * @param actions the actions to carry out, in order, after the entries are durable, or
 * immediately if there are no entries
 */
public record TaskStep(List<byte[]> entries, List<TaskAction> actions) {

	/**
	 * A step without entries and actions.
	 */
	public static final TaskStep EMPTY = new TaskStep(List.of(), List.of());

}
