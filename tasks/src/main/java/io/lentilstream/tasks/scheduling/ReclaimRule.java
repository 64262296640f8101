package io.lentilstream.tasks.scheduling;

import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;

/**
 * Takes back borrowed share: a team below its fair share whose work fits nowhere gets
 * room from teams above theirs, within the bound on evictions per minute.
 */
final class ReclaimRule {

	private final ShardState state;

	private final PendingQueue queue;

	private final FairShareRule fairShare;

	private final VictimFinder victims;

	private final EvictionRule evictions;

	private final EvictionBudget budget;

	ReclaimRule(ShardState state, PendingQueue queue, FairShareRule fairShare, VictimFinder victims,
			EvictionRule evictions, EvictionBudget budget) {
		this.state = state;
		this.queue = queue;
		this.fairShare = fairShare;
		this.victims = victims;
		this.evictions = evictions;
		this.budget = budget;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		if (!this.state.mayCommit(now)) {
			return;
		}
		for (WorkClass workClass : this.queue.blockedClasses()) {
			TeamRecord team = workClass.team;
			if (workClass.urgent() || !this.fairShare.isUnder(team)) {
				continue;
			}
			Resources size = workClass.size(this.state.largestVm);
			List<TaskRecord> chosen = this.victims.find(size, false,
					(task) -> task.group.job.team != team && this.fairShare.isOver(task.group.job.team)
							&& task.group.workClass.key.urgency().compareTo(workClass.key.urgency()) >= 0,
					now);
			if (chosen.isEmpty()) {
				continue;
			}
			if (!this.budget.tryTake(chosen.size(), now)) {
				return;
			}
			for (TaskRecord task : chosen) {
				this.evictions.evict(task, this.state.settings.checkpointPatience(), step, now);
			}
		}
	}

}
