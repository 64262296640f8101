package io.lentilstream.jobs;

/**
 * Receives a line for each decision. Must neither block nor throw.
 */
@FunctionalInterface
public interface DecisionLog {

	/**
	 * Appends a decision.
	 * @param decision what was decided, such as {@code task-started}
	 * @param subject the id of the job, task or VM that it is about
	 * @param inputs names and values in turn of what decided it and of the outcome
	 */
	void append(String decision, Object subject, Object... inputs);

}
