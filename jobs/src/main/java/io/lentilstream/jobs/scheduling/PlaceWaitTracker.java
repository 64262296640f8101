package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.accounting.TimePhase;
import io.lentilstream.jobs.locality.ExpectedEnd;
import io.lentilstream.jobs.locality.Opening;
import io.lentilstream.jobs.locality.PlaceDecision;
import io.lentilstream.jobs.locality.PlaceForecast;
import io.lentilstream.jobs.locality.PlaceQuestion;
import io.lentilstream.jobs.locality.PlaceWait;
import io.lentilstream.jobs.locality.PlaceWaitRule;
import io.lentilstream.jobs.locality.Release;
import io.lentilstream.jobs.runtime.RunTimePrediction;
import io.lentilstream.jobs.runtime.RunTimePredictor;
import io.lentilstream.model.ServiceName;

/**
 * The waits of tasks for a place near their data or their group. Load pattern: many short
 * tasks that want the same rack while other racks have capacity.
 */
final class PlaceWaitTracker {

	private static final double PERCENT = 100;

	private final SchedulerState state;

	private final WorkerSelector workerSelector;

	private final RunTimePredictor predictor;

	private final PlaceWaitRule rule = new PlaceWaitRule();

	private final Map<Task, PlaceWait> waits = new LinkedHashMap<>();

	/** The forecasts of the current pass. */
	private final Map<Place, PlaceForecast> forecasts = new HashMap<>();

	/** The services of tasks that found no capacity in the current pass. */
	private final Set<ServiceName> refused = new HashSet<>();

	/** The services of tasks that found no capacity in the previous pass. */
	private final Set<ServiceName> contended = new HashSet<>();

	PlaceWaitTracker(SchedulerState state, WorkerSelector workerSelector, RunTimePredictor predictor) {
		this.state = state;
		this.workerSelector = workerSelector;
		this.predictor = predictor;
	}

	/**
	 * Decides whether a task waits for its place and does not run on a VM elsewhere.
	 * @param task a waiting task
	 * @param worker the best VM with capacity
	 * @param now the current time in milliseconds
	 * @return {@code true} if it waits
	 */
	boolean waits(Task task, Worker worker, long now) {
		String rack = rackWanted(task);
		if (rack.isEmpty() || rack.equals(worker.listing.rack())) {
			return false;
		}
		RunTimePrediction prediction = remaining(task);
		PlaceQuestion question = new PlaceQuestion(now, prediction.medianMillis(), prediction.highMillis(),
				this.state.settings.remoteFactor(), task.dueAt, this.contended.contains(task.job.policy.service()));
		PlaceForecast forecast = forecast(new Place(task.job.policy.service(), rack), now);
		Optional<Opening> opening = forecast.earliest(task.spec().reserved(), (vm) -> suitable(task, vm, now), now);
		PlaceWait wait = this.waits.get(task);
		PlaceDecision decision = (wait != null) ? this.rule.review(wait, question, opening)
				: this.rule.decide(question, opening);
		if (decision instanceof PlaceDecision.Leave leave) {
			leave(task, rack, leave.reason(), now);
			return false;
		}
		PlaceDecision.Wait chosen = (PlaceDecision.Wait) decision;
		forecast.claim(chosen.opening(), task.spec().reserved(), prediction.medianMillis());
		if (wait == null) {
			task.timer.enter(TimePhase.PLACE, now);
			this.waits.put(task, new PlaceWait(now, chosen.opening().at(), chosen.until(), false));
			this.state.log.append("place-wait-begun", task.name, "rack", rack, "expected-wait-ms",
					chosen.opening().at() - now, "longest-wait-ms", chosen.until() - now, "expected-gain-ms",
					now + question.extraMillis() - chosen.opening().at(), "vm", chosen.opening().vm());
		}
		return true;
	}

	private void leave(Task task, String rack, PlaceDecision.Reason reason, long now) {
		PlaceWait wait = this.waits.get(task);
		if (wait == null) {
			this.waits.put(task, new PlaceWait(now, now, now, true));
			this.state.log.append("place-declined", task.name, "rack", rack, "reason", reason);
		}
		else if (!wait.abandoned()) {
			this.waits.put(task, wait.abandon());
			task.timer.enter(TimePhase.ROOM, now);
			this.state.log.append("place-wait-given-up", task.name, "rack", rack, "reason", reason, "waited-ms",
					now - wait.beganAt(), "expected-wait-ms", wait.expectedAt() - wait.beganAt());
		}
	}

	/**
	 * Records the start of a task.
	 * @param task the task
	 * @param worker its VM
	 * @param now the current time in milliseconds
	 */
	void started(Task task, Worker worker, long now) {
		String rack = worker.listing.rack();
		PlaceForecast forecast = this.forecasts.get(new Place(worker.listing.service(), rack));
		if (forecast != null && worker.acceptsTasks(now)) {
			forecast.claim(new Opening(worker.id().value(), now, now), task.spec().reserved(),
					remaining(task).medianMillis());
		}
		PlaceWait wait = this.waits.remove(task);
		if (wait != null && !wait.abandoned()) {
			this.state.log.append("place-wait-paid", task.name, "rack", rack, "waited-ms", now - wait.beganAt(),
					"expected-wait-ms", wait.expectedAt() - wait.beganAt(), "gain-ms",
					(long) ((this.state.settings.remoteFactor() - 1) * remaining(task).medianMillis())
							- (now - wait.beganAt()));
		}
	}

	/**
	 * Records that a task found no capacity.
	 * @param task the task
	 */
	void refused(Task task) {
		if (enabled()) {
			this.refused.add(task.job.policy.service());
		}
	}

	/**
	 * Ends a placement pass.
	 * @param now the current time in milliseconds
	 */
	void endPass(long now) {
		this.forecasts.clear();
		this.contended.clear();
		this.contended.addAll(this.refused);
		this.refused.clear();
		Iterator<Map.Entry<Task, PlaceWait>> entries = this.waits.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<Task, PlaceWait> entry = entries.next();
			if (this.state.waiting.contains(entry.getKey())) {
				continue;
			}
			entries.remove();
			if (!entry.getValue().abandoned()) {
				this.state.log.append("place-wait-dropped", entry.getKey().name, "waited-ms",
						now - entry.getValue().beganAt());
			}
		}
	}

	private boolean enabled() {
		return this.state.settings.enabled(SchedulerFeature.PLACE_WAITS);
	}

	// Gangs are placed as a whole, and the end of other tasks would not make it known
	// when
	// a best-effort task has room.
	private String rackWanted(Task task) {
		StepSpec.Traits traits = task.spec().traits();
		if (!enabled() || traits.longRunning() || traits.bestEffort() || traits.gang()) {
			return "";
		}
		StepSpec.Placement placement = task.spec().placement();
		return (!placement.sameRack() || !placement.affinityRack().isEmpty()) ? placement.affinityRack()
				: rackOf(task.step);
	}

	// A group that is split already gains nothing if another member waits.
	private static String rackOf(StepState step) {
		Set<String> racks = new HashSet<>();
		step.tasks().forEach((task) -> task.runs.forEach((run) -> racks.add(run.worker.listing.rack())));
		return (racks.size() == 1) ? racks.iterator().next() : "";
	}

	// What is left after a checkpoint is estimated from the progress of the last run.
	private RunTimePrediction remaining(Task task) {
		RunTimePrediction whole = this.predictor.predict(task.job.submission.queue(), task.spec());
		if (task.checkpoint.isEmpty()) {
			return whole;
		}
		double left = 1 - Math.min(PERCENT, task.lastPercent) / PERCENT;
		return new RunTimePrediction((long) (left * whole.medianMillis()), (long) (left * whole.highMillis()),
				whole.samples());
	}

	private boolean suitable(Task task, String vm, long now) {
		Worker worker = this.state.workers.get(new WorkerId(vm));
		return worker != null && this.workerSelector.allows(task, worker, now);
	}

	private PlaceForecast forecast(Place place, long now) {
		return this.forecasts.computeIfAbsent(place, (key) -> createForecast(key, now));
	}

	private PlaceForecast createForecast(Place place, long now) {
		PlaceForecast forecast = new PlaceForecast();
		for (Worker worker : this.state.workers.values()) {
			if (!place.contains(worker) || !worker.acceptsTasks(now)) {
				continue;
			}
			List<Release> releases = new ArrayList<>();
			for (Run run : worker.runs.values()) {
				if (!run.task.spec().traits().longRunning()) {
					releases.add(release(run, place.rack, now));
				}
			}
			forecast.addVm(worker.id().value(), worker.free(), releases);
		}
		return forecast;
	}

	private Release release(Run run, String rack, long now) {
		StepSpec spec = run.task.spec();
		RunTimePrediction prediction = this.predictor.predict(run.task.job.submission.queue(), spec);
		String wanted = spec.placement().affinityRack();
		double factor = (wanted.isEmpty() || wanted.equals(rack)) ? 1 : this.state.settings.remoteFactor();
		return new Release(ExpectedEnd.of(run.startSentAt, (long) (factor * prediction.medianMillis()), now),
				ExpectedEnd.of(run.startSentAt, (long) (factor * prediction.highMillis()), now), spec.reserved());
	}

	/**
	 * A rack of the VMs of a service.
	 *
	 * @param service the service
	 * @param rack the rack
	 */
	private record Place(ServiceName service, String rack) {

		boolean contains(Worker worker) {
			return worker.listing.service().equals(this.service) && worker.listing.rack().equals(this.rack);
		}

	}

}
