package io.lentilstream.benchmarks.requests;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Is a baseline: each request goes on arrival to an endpoint of the zone, at random or
 * the one with the fewest requests waiting or running, and waits there in the order of
 * arrival. The count of requests is exact and without delay; requests past their deadline
 * are dropped before they run.
 */
final class FifoBaseline {

	private final EventQueue events = new EventQueue();

	private final Topology topology;

	private final boolean leastInFlight;

	private final Results results;

	private final List<ArrayDeque<Job>> waiting = new ArrayList<>();

	private final int[] running;

	private FifoBaseline(Topology topology, List<Job> jobs, boolean leastInFlight) {
		this.topology = topology;
		this.leastInFlight = leastInFlight;
		this.results = new Results(jobs);
		this.running = new int[topology.endpoints()];
		for (int i = 0; i < topology.endpoints(); i++) {
			this.waiting.add(new ArrayDeque<>());
		}
	}

	static Results run(Topology topology, List<Job> jobs, boolean leastInFlight, long endNanos) {
		FifoBaseline baseline = new FifoBaseline(topology, jobs, leastInFlight);
		for (Job job : jobs) {
			baseline.events.at(job.arrivalNanos(), () -> {
				int endpoint = baseline.choose(job);
				baseline.waiting.get(endpoint).add(job);
				baseline.startWaiting(endpoint);
			});
		}
		baseline.events.runUntil(endNanos);
		return baseline.results;
	}

	private int choose(Job job) {
		int zone = this.topology.zoneOfEntry(job.entry());
		int inZone = (this.topology.endpoints() - zone + this.topology.zones() - 1) / this.topology.zones();
		int start = (int) (job.pick() % inZone);
		int best = zone + start * this.topology.zones();
		for (int i = 1; this.leastInFlight && i < inZone; i++) {
			int other = zone + ((start + i) % inZone) * this.topology.zones();
			if (load(other) < load(best)) {
				best = other;
			}
		}
		return best;
	}

	private int load(int endpoint) {
		return this.running[endpoint] + this.waiting.get(endpoint).size();
	}

	private void startWaiting(int endpoint) {
		while (this.running[endpoint] < Topology.SLOTS && !this.waiting.get(endpoint).isEmpty()) {
			Job job = this.waiting.get(endpoint).poll();
			long now = this.events.now();
			if (now >= job.deadlineNanos()) {
				this.results.notAnswered();
				continue;
			}
			long end = now + this.topology.runNanos(endpoint, now, job.serviceNanos());
			this.running[endpoint]++;
			this.events.at(Math.min(end, job.deadlineNanos()), () -> {
				this.running[endpoint]--;
				if (end <= job.deadlineNanos()) {
					this.results.answered(job, now, this.events.now());
				}
				else {
					this.results.notAnswered();
				}
				startWaiting(endpoint);
			});
		}
	}

}
