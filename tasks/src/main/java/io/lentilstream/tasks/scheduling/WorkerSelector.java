package io.lentilstream.tasks.scheduling;

import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;

/**
 * The selection of a worker for a task: the one with the lowest penalty among a few
 * workers with room. The search starts where the previous one ended.
 */
final class WorkerSelector {

	// More candidates take time per placement and hardly improve the result.
	private static final int MIN_CANDIDATES = 8;

	private static final double AVOIDANCE_PENALTY = 1000;

	// The search continues up to here if tasks of the group failed on all candidates.
	private static final int MAX_CANDIDATES = 64;

	private final ShardState state;

	private final List<PlacementPenalty> penalties;

	private int cursor;

	WorkerSelector(ShardState state) {
		this.state = state;
		this.penalties = List.of(new RackSpreadPenalty(), new InterferencePenalty(state.interference),
				new MeasuredLoadPenalty(state.ledger), new FailurePenalty());
	}

	/**
	 * Returns the best worker with room for the next task of a group.
	 * @param group the group
	 * @param size the size to commit
	 * @param now the current time
	 * @return the worker; {@code null} if no eligible worker has room
	 */
	WorkerRecord choose(TaskGroup group, Resources size, MonotonicTime now) {
		boolean urgent = group.taskClass.isUrgent();
		int start = this.cursor;
		int position = start;
		boolean wrapped = false;
		WorkerRecord best = null;
		double bestPenalty = Double.POSITIVE_INFINITY;
		int examined = 0;
		while (examined < MIN_CANDIDATES || (bestPenalty >= AVOIDANCE_PENALTY && examined < MAX_CANDIDATES)) {
			int found = this.state.ledger.find(position, size, urgent);
			if (found < 0 || (wrapped && found >= start)) {
				if (wrapped || start == 0) {
					break;
				}
				wrapped = true;
				position = 0;
				continue;
			}
			examined++;
			position = found + 1;
			WorkerRecord worker = this.state.workers.get(found);
			double penalty = penalty(group, worker, now);
			if (penalty < bestPenalty) {
				best = worker;
				bestPenalty = penalty;
			}
		}
		this.cursor = (position < this.state.workers.size()) ? position : 0;
		return best;
	}

	private double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now) {
		double sum = 0;
		for (int i = 0; i < this.penalties.size(); i++) {
			sum += this.penalties.get(i).penalty(group, worker, now);
		}
		return sum;
	}

}
