package io.lentilstream.jobs;

/**
 * A log of scheduling decisions. Implementations must neither block nor throw.
 */
@FunctionalInterface
public interface DecisionLog {

	/**
	 * Appends a line for a decision.
	 * @param decision the name of the decision, such as {@code task-started}
	 * @param subject the id of the job, task or VM concerned
	 * @param inputs alternating names and values that describe the inputs and the outcome
	 * of the decision
	 */
	void append(String decision, Object subject, Object... inputs);

}
