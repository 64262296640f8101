package io.lentilstream.tasks.scheduling;

/**
 * The messages that operators and submitters read.
 */
final class TaskMessages {

	static final String LARGER_THAN_EVERY_VM = "a task is larger than every listed VM";

	static final String WAITS_FOR_ROOM = "waits: no VM has room";

	static final String WAITS_FOR_QUOTA = "waits: the team is at its hard limit";

	static final String WAITS_AFTER_FAILURE = "waits before the next attempt after a failure";

	private TaskMessages() {
	}

	static String crashedWorkers(int count) {
		return count + " workers crashed under a task";
	}

	static String repeatedFailure(String reason, int workers) {
		return "failed in the same way on " + workers + " workers: " + reason;
	}

}
