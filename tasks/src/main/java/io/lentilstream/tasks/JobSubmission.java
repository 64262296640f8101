package io.lentilstream.tasks;

import java.util.List;
import java.util.Objects;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

/**
 * A job as submitted by a client.
 *
 * @param team the team
 * @param job the key of the job within its team
 * @param urgency the urgency of all its tasks
 * @param tasks the task declarations; task indexes start at 0 and follow this order
 */
public record JobSubmission(TeamId team, JobId job, Urgency urgency, List<TaskDeclaration> tasks) {

	public JobSubmission {
		Objects.requireNonNull(team);
		Objects.requireNonNull(job);
		Objects.requireNonNull(urgency);
		tasks = List.copyOf(tasks);
	}

	/**
	 * Creates a submission whose tasks all have the same program and size.
	 * @param team the team
	 * @param job the key of the job within its team
	 * @param urgency the urgency of all its tasks
	 * @param program the name of the program
	 * @param declared the declared size of each task
	 * @param count the number of tasks
	 * @return the submission
	 */
	public static JobSubmission ofEqualTasks(TeamId team, JobId job, Urgency urgency, String program,
			Resources declared, int count) {
		return new JobSubmission(team, job, urgency, List.of(new TaskDeclaration(declared, program, count)));
	}

	/**
	 * Returns the number of tasks.
	 * @return the number of tasks; may exceed the range of an int for invalid submissions
	 */
	public long taskCount() {
		return this.tasks.stream().mapToLong(TaskDeclaration::count).sum();
	}

}
