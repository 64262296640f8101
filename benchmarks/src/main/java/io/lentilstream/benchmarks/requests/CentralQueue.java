package io.lentilstream.benchmarks.requests;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Is the bound: one queue over all slots, urgent work first and then the earliest
 * deadline, without delays, and with every slot at normal speed.
 */
final class CentralQueue {

	private static final Comparator<Job> ORDER = Comparator.comparing(Job::urgent)
		.reversed()
		.thenComparing(Job::deadlineNanos)
		.thenComparing(Job::index);

	private final EventQueue events = new EventQueue();

	private final PriorityQueue<Job> waiting = new PriorityQueue<>(ORDER);

	private final Results results;

	private int free;

	private CentralQueue(Topology topology, List<Job> jobs) {
		this.results = new Results(jobs);
		this.free = topology.slots();
	}

	static Results run(Topology topology, List<Job> jobs, long endNanos) {
		CentralQueue queue = new CentralQueue(topology, jobs);
		for (Job job : jobs) {
			queue.events.at(job.arrivalNanos(), () -> {
				queue.waiting.add(job);
				queue.startWaiting();
			});
		}
		queue.events.runUntil(endNanos);
		return queue.results;
	}

	private void startWaiting() {
		while (this.free > 0 && !this.waiting.isEmpty()) {
			Job job = this.waiting.poll();
			long now = this.events.now();
			if (now >= job.deadlineNanos()) {
				this.results.notAnswered();
				continue;
			}
			this.free--;
			this.events.at(Math.min(now + job.serviceNanos(), job.deadlineNanos()), () -> {
				this.free++;
				if (now + job.serviceNanos() <= job.deadlineNanos()) {
					this.results.answered(job, now, this.events.now());
				}
				else {
					this.results.notAnswered();
				}
				startWaiting();
			});
		}
	}

}
