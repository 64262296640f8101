package io.lentilstream.tasks;

import java.util.List;

/**
 * The result of one input: what must be durable, and what to do after that.
 *
 * @param entries the log entries, in order; each starts with its format version
 * @param actions the actions to carry out, in order, after the entries are durable; at
 * once if there are no entries
 */
public record TaskStep(List<byte[]> entries, List<TaskAction> actions) {

	/**
	 * A step without entries and actions.
	 */
	public static final TaskStep NOTHING = new TaskStep(List.of(), List.of());

}
