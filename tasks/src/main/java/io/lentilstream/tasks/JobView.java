package io.lentilstream.tasks;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.JobId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

/**
 * A view of a job for operators and submitters.
 *
 * @param team the team
 * @param job the key of the job
 * @param urgency the urgency
 * @param tasks the number of tasks in each state; states without tasks are absent
 * @param ended whether every task has ended
 * @param problem why the job is waiting or has failed, if known
 */
public record JobView(TeamId team, JobId job, Urgency urgency, Map<TaskState, Integer> tasks, boolean ended,
		Optional<String> problem) {
}
