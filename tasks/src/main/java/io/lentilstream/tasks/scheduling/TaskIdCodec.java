package io.lentilstream.tasks.scheduling;

import java.util.Optional;

import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;

/**
 * A conversion between the id of a task and its shard, job number and index. Ids are
 * computed when needed instead of being stored, which saves about 100 bytes per task.
 */
final class TaskIdCodec {

	// Leaves space for the two numbers and the separators within the longest id.
	private static final int MAX_SCOPE_LENGTH = 80;

	private final String prefix;

	TaskIdCodec(ShardId shard) {
		String scope = shard.scope();
		if (scope.length() > MAX_SCOPE_LENGTH) {
			scope = scope.substring(0, MAX_SCOPE_LENGTH) + Integer.toHexString(scope.hashCode());
		}
		this.prefix = scope + "-" + shard.index() + ".";
	}

	TaskId of(long sequence, int index) {
		return new TaskId(this.prefix + sequence + "." + index);
	}

	Optional<Parts> parse(TaskId id) {
		String text = id.value();
		int dot = text.lastIndexOf('.');
		if (!text.startsWith(this.prefix) || dot < this.prefix.length()) {
			return Optional.empty();
		}
		try {
			return Optional.of(new Parts(Long.parseLong(text, this.prefix.length(), dot, 10),
					Integer.parseInt(text, dot + 1, text.length(), 10)));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * The parts of an id that identify a task within the shard.
	 *
	 * @param sequence the number of the job
	 * @param index the index of the task
	 */
	record Parts(long sequence, int index) {
	}

}
