package io.lentilstream.tasks.scheduling;

import java.util.Optional;

import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;

/**
 * Builds the id of a task from its shard, the number of its job and its index, and reads
 * it back. Ids are not stored, which saves about 100 bytes per task.
 */
final class TaskIdCodec {

	// Leaves room for the two numbers and the separators within the longest id.
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

	Optional<Name> parse(TaskId id) {
		String text = id.value();
		int dot = text.lastIndexOf('.');
		if (!text.startsWith(this.prefix) || dot < this.prefix.length()) {
			return Optional.empty();
		}
		try {
			return Optional.of(new Name(Long.parseLong(text, this.prefix.length(), dot, 10),
					Integer.parseInt(text, dot + 1, text.length(), 10)));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Names a task within the shard.
	 *
	 * @param sequence the number of the job
	 * @param index the index of the task
	 */
	record Name(long sequence, int index) {
	}

}
