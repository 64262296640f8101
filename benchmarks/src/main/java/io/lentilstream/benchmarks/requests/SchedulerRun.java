package io.lentilstream.benchmarks.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.AttemptResult;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.OwnedEndpoint;
import io.lentilstream.requests.PeerReport;
import io.lentilstream.requests.PoolSnapshot;
import io.lentilstream.requests.RequestAction;
import io.lentilstream.requests.RequestDefaults;
import io.lentilstream.requests.RequestScheduler;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;

/**
 * Runs a workload through one scheduler per entry VM in virtual time. Endpoints run
 * requests and give up at the deadline; peers exchange heartbeats and forward requests,
 * within the zone and as spill to other zones, with the same delay.
 */
final class SchedulerRun {

	static final long HOP_NANOS = 1_000_000L;

	private static final long HEARTBEAT_NANOS = 100_000_000L;

	private static final ServiceKey POOL = new ServiceKey(new TeamId("team"), new ServiceName("service"));

	/** A declared time that is 4x too long for urgent work. */
	private static final Duration EXPECTED_TIME = Duration.ofMillis(40);

	private final EventQueue events = new EventQueue();

	private final Topology topology;

	private final List<Job> jobs;

	private final Results results;

	private final List<RequestScheduler> entries = new ArrayList<>();

	private final Map<Integer, Origin> forwards = new HashMap<>();

	private final long[] wakeUps;

	private final int[] running;

	private final long[] startedAt;

	private SchedulerRun(Topology topology, List<Job> jobs, long seed) {
		this.topology = topology;
		this.jobs = jobs;
		this.results = new Results(jobs);
		this.wakeUps = new long[topology.entries()];
		this.running = new int[topology.endpoints()];
		this.startedAt = new long[jobs.size()];
		for (int entry = 0; entry < topology.entries(); entry++) {
			long entrySeed = seed + entry;
			this.entries.add(new RequestScheduler(RequestDefaults.defaults(), () -> new SplittableRandom(entrySeed)));
			this.wakeUps[entry] = Long.MAX_VALUE;
		}
	}

	static Run run(Topology topology, List<Job> jobs, long seed, long endNanos) {
		SchedulerRun run = new SchedulerRun(topology, jobs, seed);
		for (int entry = 0; entry < topology.entries(); entry++) {
			run.configure(entry);
		}
		for (Job job : jobs) {
			run.events.at(job.arrivalNanos(), () -> run.offer(job.entry(), job, false));
		}
		for (long at = 0; at < endNanos; at += HEARTBEAT_NANOS) {
			run.events.at(at, run::sendHeartbeats);
		}
		run.events.runUntil(endNanos);
		List<PoolSnapshot> snapshots = run.entries.stream()
			.flatMap((entry) -> entry.snapshot(run.time()).stream())
			.toList();
		return new Run(run.results, snapshots);
	}

	private void configure(int entry) {
		RequestScheduler scheduler = this.entries.get(entry);
		ServicePolicy policy = new ServicePolicy(POOL, POOL, Urgency.URGENT, 1, 1, true, true, 20_000, 0.1, false,
				EXPECTED_TIME);
		scheduler.updatePolicies(time(), List.of(policy));
		List<OwnedEndpoint> owned = new ArrayList<>();
		for (int i = 0; i < this.topology.endpoints(); i++) {
			if (this.topology.ownerOfEndpoint(i) == entry) {
				owned.add(new OwnedEndpoint(new EndpointId("e" + i), POOL, Topology.SLOTS, Topology.CONNECTIONS, false,
						OptionalInt.of(0)));
			}
		}
		scheduler.updateEndpoints(time(), owned);
	}

	private void offer(int entry, Job job, boolean forwarded) {
		Urgency urgency = job.urgent() ? Urgency.URGENT : Urgency.BATCH;
		IncomingRequest request = new IncomingRequest(id(job), POOL, urgency, new MonotonicTime(job.deadlineNanos()),
				true, forwarded, 0);
		carryOut(entry, this.entries.get(entry).offer(time(), request));
	}

	private void sendHeartbeats() {
		for (int entry = 0; entry < this.entries.size(); entry++) {
			int target = entry;
			List<PeerReport> reports = new ArrayList<>();
			for (int other = 0; other < this.entries.size(); other++) {
				if (other != entry) {
					boolean sameZone = this.topology.zoneOfEntry(other) == this.topology.zoneOfEntry(entry);
					PoolSnapshot snapshot = this.entries.get(other).snapshot(time()).get(0);
					reports.add(new PeerReport(new VmId("v" + other), sameZone, POOL, snapshot.freeSlots(),
							snapshot.estimatedWait(), Duration.ofNanos(2 * HOP_NANOS),
							time().plus(Duration.ofNanos(HOP_NANOS))));
				}
			}
			this.events.at(this.events.now() + HOP_NANOS,
					() -> carryOut(target, this.entries.get(target).updatePeers(time(), reports)));
		}
	}

	private void carryOut(int entry, List<RequestAction> actions) {
		for (RequestAction action : actions) {
			Job job = this.jobs.get(Integer.parseInt(action.request().value()));
			if (action instanceof RequestAction.Dispatch dispatch) {
				start(entry, job, dispatch);
			}
			else if (action instanceof RequestAction.Forward forward) {
				int peer = Integer.parseInt(forward.peer().value().substring(1));
				this.forwards.put(job.index(), new Origin(entry, forward.attempt()));
				this.events.at(this.events.now() + HOP_NANOS, () -> offer(peer, job, true));
			}
			else {
				finish(entry, job, action);
			}
		}
		scheduleWakeUp(entry);
	}

	private void finish(int entry, Job job, RequestAction action) {
		Origin origin = this.forwards.get(job.index());
		if (origin != null && origin.entry != entry) {
			AttemptResult result = resultAtOrigin(origin.attempt, action);
			this.events.at(this.events.now() + HOP_NANOS, () -> {
				this.forwards.remove(job.index());
				completed(origin.entry, job, result);
			});
		}
		else if (action instanceof RequestAction.Deliver) {
			this.results.answered(job, this.startedAt[job.index()], this.events.now());
		}
		else {
			this.results.notAnswered();
		}
	}

	private static AttemptResult resultAtOrigin(int attempt, RequestAction action) {
		if (action instanceof RequestAction.Deliver) {
			return new AttemptResult.Answered(attempt, false, 0);
		}
		if (action instanceof RequestAction.Refuse refuse) {
			return new AttemptResult.Refused(attempt, refuse.outcome().reason() == NotRunReason.SHUTTING_DOWN);
		}
		return new AttemptResult.Broken(attempt);
	}

	private void start(int entry, Job job, RequestAction.Dispatch dispatch) {
		int endpoint = Integer.parseInt(dispatch.endpoint().value().substring(1));
		long now = this.events.now();
		long end = now + this.topology.runNanos(endpoint, now, job.serviceNanos());
		this.startedAt[job.index()] = now;
		this.results.runningAt(++this.running[endpoint]);
		this.events.at(Math.min(end, job.deadlineNanos()), () -> {
			this.running[endpoint]--;
			completed(entry, job,
					(end <= job.deadlineNanos()) ? new AttemptResult.Answered(dispatch.attempt(), false, end - now)
							: new AttemptResult.Broken(dispatch.attempt()));
		});
	}

	private void completed(int entry, Job job, AttemptResult result) {
		carryOut(entry, this.entries.get(entry).attemptCompleted(time(), id(job), result));
	}

	private void scheduleWakeUp(int entry) {
		Optional<MonotonicTime> next = this.entries.get(entry).nextWakeUp();
		if (next.isPresent() && next.get().nanos() < this.wakeUps[entry]) {
			long at = Math.max(this.events.now(), next.get().nanos());
			this.wakeUps[entry] = at;
			this.events.at(at, () -> {
				if (this.wakeUps[entry] == at) {
					this.wakeUps[entry] = Long.MAX_VALUE;
					carryOut(entry, this.entries.get(entry).tick(time()));
				}
			});
		}
	}

	private MonotonicTime time() {
		return new MonotonicTime(this.events.now());
	}

	private static RequestId id(Job job) {
		return new RequestId(Integer.toString(job.index()));
	}

	private record Origin(int entry, int attempt) {
	}

	/**
	 * Is the outcome of a run.
	 *
	 * @param results what became of the requests
	 * @param snapshots the counts of each entry VM at the end
	 */
	record Run(Results results, List<PoolSnapshot> snapshots) {
	}

}
