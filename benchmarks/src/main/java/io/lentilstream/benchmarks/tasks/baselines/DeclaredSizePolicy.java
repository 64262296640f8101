package io.lentilstream.benchmarks.tasks.baselines;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.Resources;

/**
 * Places tasks by their declared sizes in the order of arrival, urgent ones first; tasks
 * that do not fit are passed over. The newest batch tasks of a VM are evicted for urgent
 * work that fits nowhere.
 */
final class DeclaredSizePolicy implements Policy {

	private static final long PASS_MILLIS = 100;

	private static final long FIRST_DELAY_MILLIS = 10_000;

	private static final long LONGEST_DELAY_MILLIS = 300_000;

	private static final int MAX_DOUBLINGS = 5;

	private final EventQueue events;

	private final Cluster cluster;

	private final boolean bestFit;

	private final Deque<Waiting> urgent = new ArrayDeque<>();

	private final Deque<Waiting> batch = new ArrayDeque<>();

	private final Resources[] free;

	private final List<List<TaskRun>> runs = new ArrayList<>();

	private long evictions;

	private boolean batchMayFit;

	private boolean evicting;

	private final Map<SimulatedTask, Integer> kills = new HashMap<>();

	DeclaredSizePolicy(EventQueue events, Cluster cluster, boolean bestFit) {
		this.events = events;
		this.cluster = cluster;
		this.bestFit = bestFit;
		this.free = new Resources[cluster.workers()];
		for (int i = 0; i < this.free.length; i++) {
			this.free[i] = Cluster.CAPACITY;
			this.runs.add(new ArrayList<>());
		}
		cluster.whenEnded(this::ended);
		events.every(PASS_MILLIS, PASS_MILLIS, this::placeAll);
	}

	@Override
	public void submit(SimulatedJob job, List<SimulatedTask> tasks) {
		Deque<Waiting> queue = job.urgent() ? this.urgent : this.batch;
		this.batchMayFit = true;
		tasks.forEach((task) -> queue.add(new Waiting(task, Optional.empty())));
	}

	@Override
	public void complete(Results results) {
		results.policyEvictions = this.evictions;
	}

	private void ended(TaskRun run) {
		if (!this.runs.get(run.vm).remove(run)) {
			return;
		}
		this.batchMayFit = true;
		this.free[run.vm] = this.free[run.vm].plus(run.committed);
		if (run.state == TaskReport.State.STOPPED) {
			putBack(run);
		}
	}

	/**
	 * Puts a killed or evicted task back at the front, since it arrived early. A killed
	 * task waits, longer each time, as it would be killed on the same VM again at once.
	 * @param run the ended attempt
	 */
	private void putBack(TaskRun run) {
		Waiting next = new Waiting(run.task, run.checkpoint());
		if (this.evicting) {
			this.batch.addFirst(next);
			return;
		}
		int kills = this.kills.merge(run.task, 1, Integer::sum);
		long delay = Math.min(LONGEST_DELAY_MILLIS, FIRST_DELAY_MILLIS << Math.min(kills - 1, MAX_DOUBLINGS));
		this.events.after(delay, () -> {
			this.batch.addFirst(next);
			this.batchMayFit = true;
		});
	}

	private void placeAll() {
		Iterator<Waiting> waiting = this.urgent.iterator();
		while (waiting.hasNext()) {
			Waiting next = waiting.next();
			int vm = choose(next.size());
			if (vm < 0) {
				vm = evictFor(next.size());
			}
			if (vm < 0) {
				continue;
			}
			waiting.remove();
			start(next, vm);
		}
		if (this.batchMayFit) {
			this.batchMayFit = false;
			placeBatch();
		}
	}

	private void placeBatch() {
		List<Resources> failed = new ArrayList<>();
		Iterator<Waiting> waiting = this.batch.iterator();
		while (waiting.hasNext()) {
			Waiting next = waiting.next();
			if (failed.stream().anyMatch((size) -> size.fitsWithin(next.size()))) {
				continue;
			}
			int vm = choose(next.size());
			if (vm < 0) {
				failed.add(next.size());
				continue;
			}
			waiting.remove();
			start(next, vm);
		}
	}

	private int choose(Resources size) {
		int best = -1;
		double least = Double.POSITIVE_INFINITY;
		for (int i = 0; i < this.free.length; i++) {
			if (!size.fitsWithin(this.free[i])) {
				continue;
			}
			if (!this.bestFit) {
				return i;
			}
			double left = this.free[i].minus(size).dominantShareOf(Cluster.CAPACITY);
			if (left < least) {
				best = i;
				least = left;
			}
		}
		return best;
	}

	/**
	 * Evicts on the VM that loses the fewest tasks.
	 * @param size the size that must fit
	 * @return the VM, or -1 if no VM can make room
	 */
	private int evictFor(Resources size) {
		List<TaskRun> fewest = null;
		for (int i = 0; i < this.free.length; i++) {
			List<TaskRun> chosen = new ArrayList<>();
			Resources room = this.free[i];
			List<TaskRun> onVm = this.runs.get(i);
			for (int j = onVm.size() - 1; j >= 0 && !size.fitsWithin(room); j--) {
				if (!onVm.get(j).task.urgent()) {
					chosen.add(onVm.get(j));
					room = room.plus(onVm.get(j).committed);
				}
			}
			if (size.fitsWithin(room) && (fewest == null || chosen.size() < fewest.size())) {
				fewest = chosen;
			}
		}
		if (fewest == null) {
			return -1;
		}
		this.evicting = true;
		for (TaskRun run : fewest) {
			this.evictions++;
			this.cluster.stop(run);
			ended(run);
		}
		this.evicting = false;
		return fewest.get(0).vm;
	}

	private void start(Waiting next, int vm) {
		this.free[vm] = this.free[vm].minus(next.size());
		this.runs.get(vm).add(this.cluster.start(next.task, next.size(), vm, next.checkpoint));
	}

	private record Waiting(SimulatedTask task, Optional<String> checkpoint) {

		Resources size() {
			return this.task.job().declared();
		}

	}

}
