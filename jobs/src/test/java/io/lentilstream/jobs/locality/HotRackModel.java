package io.lentilstream.jobs.locality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import io.lentilstream.model.Resources;

/**
 * A model of racks of which one is wanted by a share of the tasks for some seconds. Tasks
 * are placed in the order of their latest starts.
 */
final class HotRackModel {

	private static final int RACKS = 4;

	private static final int VMS_PER_RACK = 4;

	private static final int SLOTS_PER_VM = 4;

	private static final int SLOTS = RACKS * VMS_PER_RACK * SLOTS_PER_VM;

	private static final Resources SLOT = new Resources(1000, 100, 0);

	private static final long HOT_FROM = 1000;

	private static final long HOT_UNTIL = 6500;

	private static final long LENGTH = 8000;

	private static final double MEAN_WORK = 700;

	private static final double MEAN_WIDTH = 4;

	private final Random random;

	private final Load load;

	private final WaitPolicy policy;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingInt(Event::number));

	private final TreeSet<ModelTask> waiting = new TreeSet<>(
			Comparator.comparingLong((ModelTask task) -> task.latestStart).thenComparingInt((task) -> task.number));

	private final List<Set<ModelTask>> vms = new ArrayList<>();

	private final List<ModelJob> jobs = new ArrayList<>();

	private int tasks;

	private boolean contended;

	private PlaceForecast forecast;

	HotRackModel(long seed, Load load, WaitPolicy policy) {
		this.random = new Random(seed);
		this.load = load;
		this.policy = policy;
		for (int vm = 0; vm < RACKS * VMS_PER_RACK; vm++) {
			this.vms.add(new HashSet<>());
		}
	}

	List<ModelJob> run() {
		createJobs();
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			if (event.task != null && event.task.vm < 0 && event.task.endedAt == 0) {
				this.waiting.add(event.task);
			}
			else if (event.task != null && event.task.endedAt == event.at) {
				this.vms.get(event.task.vm).remove(event.task);
				event.task.job.endedAt = Math.max(event.task.job.endedAt, event.at);
			}
			if (this.events.isEmpty() || this.events.peek().at > event.at) {
				place(event.at);
			}
		}
		return this.jobs;
	}

	private void createJobs() {
		double interval = MEAN_WORK * MEAN_WIDTH / (SLOTS * this.load.utilization());
		for (double at = 0; at < LENGTH; at += -Math.log(1 - this.random.nextDouble()) * interval) {
			boolean hot = this.random.nextDouble() < this.load.share() && at >= HOT_FROM && at < HOT_UNTIL;
			long estimate = (long) (MEAN_WORK * Math.exp(0.5 * this.random.nextGaussian() - 0.125));
			ModelJob job = new ModelJob(hot, (long) at, (long) at + 250 + (long) (1.5 * estimate));
			this.jobs.add(job);
			int width = 1 + this.random.nextInt((int) (2 * MEAN_WIDTH) - 1);
			for (int i = 0; i < width; i++) {
				double error = 1 + this.load.error() * (2 * this.random.nextDouble() - 1);
				ModelTask task = new ModelTask(job, this.tasks++, estimate, (long) (estimate * error) + 1,
						job.dueAt - estimate);
				this.events.add(new Event(job.arrivedAt, task.number, task));
			}
		}
	}

	private void reorder(long now) {
		for (ModelTask task : List.copyOf(this.waiting)) {
			if (task.latestStart >= now) {
				break;
			}
			this.waiting.remove(task);
			task.latestStart = task.nextLatestStart();
			this.waiting.add(task);
		}
	}

	private void place(long now) {
		reorder(now);
		this.forecast = null;
		boolean refused = false;
		for (ModelTask task : List.copyOf(this.waiting)) {
			int vm = task.job.hot ? mostFree(0, VMS_PER_RACK) : mostFree(0, this.vms.size());
			if (vm < 0) {
				vm = mostFree(0, this.vms.size());
				if (vm < 0) {
					refused = true;
					continue;
				}
				if (waits(task, now)) {
					continue;
				}
			}
			start(task, vm, now);
			if (this.forecast != null && vm < VMS_PER_RACK) {
				this.forecast.claim(new Opening("vm-" + vm, now, now), SLOT, task.estimate);
			}
		}
		this.contended = refused;
	}

	private boolean waits(ModelTask task, long now) {
		PlaceQuestion question = new PlaceQuestion(now, task.estimate, task.estimate, this.load.remoteFactor(),
				task.latestStart, this.contended);
		PlaceDecision decision = this.policy.decide(task.wait, question, () -> opening(now));
		if (decision instanceof PlaceDecision.Wait wait) {
			if (this.forecast != null) {
				this.forecast.claim(wait.opening(), SLOT, task.estimate);
			}
			if (task.wait == null) {
				task.wait = new PlaceWait(now, wait.opening().at(), wait.until(), false);
				this.events.add(new Event(wait.until(), -1, null));
			}
			return true;
		}
		task.wait = (task.wait != null) ? task.wait.abandon() : null;
		return false;
	}

	private Optional<Opening> opening(long now) {
		this.forecast = (this.forecast != null) ? this.forecast : forecast(now);
		return this.forecast.earliest(SLOT, (vm) -> true, now);
	}

	private PlaceForecast forecast(long now) {
		PlaceForecast forecast = new PlaceForecast();
		for (int vm = 0; vm < VMS_PER_RACK; vm++) {
			List<Release> releases = new ArrayList<>();
			for (ModelTask task : this.vms.get(vm)) {
				long at = ExpectedEnd.of(task.startedAt, task.estimate, now);
				releases.add(new Release(at, at, SLOT));
			}
			forecast.addVm("vm-" + vm, new Resources(1000L * (SLOTS_PER_VM - releases.size()), 1000, 0), releases);
		}
		return forecast;
	}

	private int mostFree(int from, int to) {
		int best = -1;
		for (int vm = from; vm < to; vm++) {
			if (this.vms.get(vm).size() < SLOTS_PER_VM
					&& (best < 0 || this.vms.get(vm).size() < this.vms.get(best).size())) {
				best = vm;
			}
		}
		return best;
	}

	private void start(ModelTask task, int vm, long now) {
		this.waiting.remove(task);
		boolean remote = task.job.hot && vm >= VMS_PER_RACK;
		task.vm = vm;
		task.startedAt = now;
		task.endedAt = now + (long) (task.work * (remote ? this.load.remoteFactor() : 1));
		this.vms.get(vm).add(task);
		this.events.add(new Event(task.endedAt, task.number, task));
	}

	/**
	 * The load of the model.
	 *
	 * @param share the share of the jobs that want the hot rack
	 * @param remoteFactor the factor by which these take longer elsewhere
	 * @param utilization the share of the capacity that is asked for
	 * @param error the largest relative error of the estimates
	 */
	record Load(double share, double remoteFactor, double utilization, double error) {
	}

	/**
	 * A policy that decides how long tasks wait.
	 */
	interface WaitPolicy {

		PlaceDecision decide(PlaceWait wait, PlaceQuestion question, Supplier<Optional<Opening>> opening);

	}

	private record Event(long at, int number, ModelTask task) {
	}

	/**
	 * A job of the model.
	 */
	static final class ModelJob {

		final boolean hot;

		final long arrivedAt;

		final long dueAt;

		long endedAt;

		ModelJob(boolean hot, long arrivedAt, long dueAt) {
			this.hot = hot;
			this.arrivedAt = arrivedAt;
			this.dueAt = dueAt;
		}

	}

	private static final class ModelTask {

		final ModelJob job;

		final int number;

		final long estimate;

		final long work;

		long latestStart;

		PlaceWait wait;

		int vm = -1;

		long startedAt;

		long endedAt;

		ModelTask(ModelJob job, int number, long estimate, long work, long latestStart) {
			this.job = job;
			this.number = number;
			this.estimate = estimate;
			this.work = work;
			this.latestStart = latestStart;
		}

		long nextLatestStart() {
			long late = this.job.dueAt - this.estimate + 2 * (this.job.dueAt - this.job.arrivedAt);
			return (this.latestStart < late) ? late : PlaceQuestion.TOO_LATE;
		}

	}

}
