package io.lentilstream.tasks.scheduling;

import java.util.Optional;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.JobRefusal;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskDeclaration;

/**
 * The policy that decides whether a new job is refused.
 */
final class AdmissionPolicy {

	private final ShardState state;

	AdmissionPolicy(ShardState state) {
		this.state = state;
	}

	Optional<JobRefusal> refusal(JobSubmission job, MonotonicTime now) {
		long tasks = job.taskCount();
		if (tasks < 1 || tasks > this.state.settings.maxTasksPerJob() || !isValid(job)) {
			return Optional.of(JobRefusal.INVALID);
		}
		if (!this.state.mayCommit(now)) {
			return Optional.of(JobRefusal.STORE_UNAVAILABLE);
		}
		TeamRecord team = this.state.teams.get(job.team());
		for (TaskDeclaration task : job.tasks()) {
			if (!fitsSomeVm(task.declared(), job.urgency() == Urgency.URGENT)) {
				return Optional.of(JobRefusal.LARGER_THAN_EVERY_VM);
			}
			if (team != null && team.hardLimit != null && !task.declared().fitsWithin(team.hardLimit)) {
				return Optional.of(JobRefusal.OVER_QUOTA);
			}
		}
		if (this.state.unfinishedTasks() + tasks > this.state.settings.maxUnfinishedTasks()) {
			return Optional.of(JobRefusal.QUEUE_FULL);
		}
		return Optional.empty();
	}

	/**
	 * Tells whether a task fits on an empty VM. If no worker is listed, every size is
	 * considered to fit.
	 * @param size the size
	 * @param urgent whether the task is urgent
	 * @return whether a listed VM could hold the task
	 */
	boolean fitsSomeVm(Resources size, boolean urgent) {
		boolean anyListed = false;
		for (WorkerRecord worker : this.state.workers) {
			if (worker.listed) {
				anyListed = true;
				if (size.fitsWithin(this.state.ledger.largestTaskSize(worker.description.capacity(), urgent))) {
					return true;
				}
			}
		}
		return !anyListed;
	}

	private static boolean isValid(JobSubmission job) {
		for (TaskDeclaration task : job.tasks()) {
			Resources size = task.declared();
			if (task.count() < 1 || task.program().isEmpty() || size.milliCores() <= 0 || size.memoryMegabytes() <= 0
					|| size.accelerators() < 0) {
				return false;
			}
		}
		return true;
	}

}
