package io.lentilstream.jobs.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The VMs that may run the tasks of a step during one placement pass, best first. Only
 * valid for tasks whose placement lowers the score of their VM, so that a score computed
 * earlier in the pass is an upper bound. Load pattern: wide steps that wait in large
 * numbers, such as after a takeover, for each task of which all VMs would be compared.
 */
final class StepCandidates {

	private final WorkerSelector workerSelector;

	private final PriorityQueue<Candidate> candidates = new PriorityQueue<>(
			Comparator.comparingDouble((Candidate candidate) -> -candidate.score)
				.thenComparingInt(Candidate::position));

	/**
	 * Evaluates all VMs for a task of a step.
	 * @param workerSelector evaluates a VM
	 * @param task a task of the step
	 * @param workers the VMs
	 * @param now the current time in milliseconds
	 */
	StepCandidates(WorkerSelector workerSelector, Task task, Collection<Worker> workers, long now) {
		this.workerSelector = workerSelector;
		int position = 0;
		for (Worker worker : workers) {
			if (workerSelector.eligible(task, worker, "", now)) {
				this.candidates.add(new Candidate(worker, workerSelector.score(task, worker), position));
			}
			position++;
		}
	}

	/**
	 * Tells whether the VM for a task may be chosen in this way.
	 * @param task the task
	 * @return {@code false} if the choice depends on more than the step, or if a
	 * placement can raise the score of a VM
	 */
	static boolean suits(Task task) {
		return !task.spec().traits().longRunning() && !task.spec().serves() && !task.spec().placement().sameRack()
				&& task.failedOn == null;
	}

	/**
	 * Returns the best VM, given all placements so far.
	 * @param task a task of the step
	 * @param now the current time in milliseconds
	 * @return the VM, or {@code null} if none fits
	 */
	Worker best(Task task, long now) {
		while (!this.candidates.isEmpty()) {
			Candidate top = this.candidates.poll();
			if (!this.workerSelector.eligible(task, top.worker, "", now)) {
				continue;
			}
			double score = this.workerSelector.score(task, top.worker);
			this.candidates.add(new Candidate(top.worker, score, top.position));
			if (score >= top.score) {
				return top.worker;
			}
		}
		return null;
	}

	private record Candidate(Worker worker, double score, int position) {
	}

}
