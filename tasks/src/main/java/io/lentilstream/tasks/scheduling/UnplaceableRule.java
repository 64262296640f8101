package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * Fails jobs with a task that is larger than every listed VM, after a while in which a
 * larger VM may be listed.
 */
final class UnplaceableRule {

	private final ShardState state;

	private final PendingQueue queue;

	private final AdmissionRule admission;

	private final RepeatedFailureRule failures;

	UnplaceableRule(ShardState state, PendingQueue queue, AdmissionRule admission, RepeatedFailureRule failures) {
		this.state = state;
		this.queue = queue;
		this.admission = admission;
		this.failures = failures;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		long patience = this.state.settings.unplaceableTimeout().toNanos();
		for (WorkClass workClass : this.queue.blockedClasses()) {
			if (this.admission.fitsSomeVm(workClass.size(this.state.largestVm), workClass.urgent())) {
				workClass.unplaceable = false;
				continue;
			}
			if (this.admission.fitsSomeVm(workClass.key.declared(), workClass.urgent())) {
				workClass.declaredOnly = true;
				workClass.unplaceable = false;
				continue;
			}
			if (!workClass.unplaceable) {
				workClass.unplaceable = true;
				workClass.unplaceableSinceNanos = now.nanos();
			}
			if (now.nanos() - workClass.unplaceableSinceNanos < patience || !this.state.mayCommit(now)) {
				continue;
			}
			TaskGroup group = workClass.head();
			while (group != null) {
				this.failures.giveUpJob(group.job, TaskMessages.LARGER_THAN_EVERY_VM, step, now);
				group = workClass.head();
			}
		}
	}

}
