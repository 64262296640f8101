package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * The handler for jobs with a task that is larger than every listed VM. It fails them
 * after a grace period in which a larger VM may be listed.
 */
final class UnplaceableJobHandler {

	private final ShardState state;

	private final PendingQueue queue;

	private final AdmissionPolicy admission;

	private final RetryPolicy retryPolicy;

	UnplaceableJobHandler(ShardState state, PendingQueue queue, AdmissionPolicy admission, RetryPolicy retryPolicy) {
		this.state = state;
		this.queue = queue;
		this.admission = admission;
		this.retryPolicy = retryPolicy;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		long gracePeriod = this.state.settings.unplaceableTimeout().toNanos();
		for (TaskClass taskClass : this.queue.blockedClasses()) {
			if (this.admission.fitsSomeVm(taskClass.size(this.state.largestVm), taskClass.isUrgent())) {
				taskClass.unplaceable = false;
				continue;
			}
			if (this.admission.fitsSomeVm(taskClass.key.declared(), taskClass.isUrgent())) {
				taskClass.useDeclaredSize = true;
				taskClass.unplaceable = false;
				continue;
			}
			if (!taskClass.unplaceable) {
				taskClass.unplaceable = true;
				taskClass.unplaceableSinceNanos = now.nanos();
			}
			if (now.nanos() - taskClass.unplaceableSinceNanos < gracePeriod || !this.state.mayCommit(now)) {
				continue;
			}
			TaskGroup group = taskClass.head();
			while (group != null) {
				this.retryPolicy.failJob(group.job, TaskMessages.LARGER_THAN_EVERY_VM, step, now);
				group = taskClass.head();
			}
		}
	}

}
