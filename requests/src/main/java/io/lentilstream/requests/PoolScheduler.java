package io.lentilstream.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;

/**
 * Scheduler of one endpoint pool. It guards the requests and endpoints of the pool with
 * one lock and applies the scheduling rules on each event.
 */
final class PoolScheduler {

	/** The wait reported to peers while no endpoint accepts work. */
	private static final Duration UNAVAILABLE_WAIT = Duration.ofHours(1);

	/**
	 * Maximum of queued requests of a team that are examined to skip those that must wait
	 * for stragglers.
	 */
	private static final int LOOKAHEAD = 16;

	/** Minimum time to the deadline of a probe request, in medians of its run time. */
	private static final int PROBE_MEDIANS = 8;

	/**
	 * The wait assumed during a drain, so that any peer with a free slot is preferred.
	 */
	private static final long DRAIN_WAIT_NANOS = Long.MAX_VALUE - 1;

	/**
	 * Interval of the checks whether non-urgent requests still have to wait for the
	 * urgent reserve.
	 */
	private static final long RECHECK_NANOS = 50_000_000L;

	private static final long NEVER = Long.MAX_VALUE;

	private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;

	private final ServiceKey key;

	private final RequestDefaults defaults;

	private final RandomGenerator random;

	private final Predicate<RequestId> register;

	private final TimerQueue timers = new TimerQueue();

	private final PoolCounters counters = new PoolCounters();

	private final SlotTracker slots = new SlotTracker();

	private final RunTimeEstimator runTimes = new RunTimeEstimator();

	private final UrgentReserveRule reserve = new UrgentReserveRule();

	private final EndpointUpdater endpoints;

	private final RequestCompleter completer;

	private final Map<RequestId, TrackedRequest> trackedRequests = new HashMap<>();

	private final Map<TeamId, TeamQueue> teams = new HashMap<>();

	private final Map<ServiceKey, RetryBudget> budgets = new HashMap<>();

	private final Map<ServiceKey, Integer> queuedByService = new HashMap<>();

	private final Map<VmId, PeerView> peersById = new HashMap<>();

	private List<PeerView> peers = List.of();

	private List<RequestAction> actions = new ArrayList<>();

	private long now;

	private long sequence;

	private volatile long nextWakeUpNanos = NEVER;

	private boolean recheckPending;

	private boolean draining;

	private boolean drainGraceEnded;

	/**
	 * Creates an empty pool.
	 * @param key the team and service that owns the endpoints
	 * @param defaults the settings that apply to every service
	 * @param random the source of randomness for breaking ties and for retry jitter
	 * @param register registers a request id for this pool and returns {@code false} if
	 * the id is already in progress; called under the lock, so that the id and the
	 * request become visible together
	 * @param unregister removes a request id
	 */
	PoolScheduler(ServiceKey key, RequestDefaults defaults, RandomGenerator random,
			BiPredicate<RequestId, PoolScheduler> register, Consumer<RequestId> unregister) {
		this.register = (id) -> register.test(id, this);
		this.key = key;
		this.defaults = defaults;
		this.random = random;
		this.endpoints = new EndpointUpdater(this.slots, this.timers, defaults);
		this.completer = new RequestCompleter(this.trackedRequests, this.timers, this.counters, unregister);
	}

	synchronized List<RequestAction> updatePolicy(MonotonicTime time, ServicePolicy policy) {
		startEvent(time);
		team(policy).updateLimits(policy.weight(), policy.quota());
		return finishEvent();
	}

	synchronized List<RequestAction> updateEndpoints(MonotonicTime time, List<OwnedEndpoint> owned) {
		startEvent(time);
		this.endpoints.update(this.now, owned);
		if (this.slots.accepting() == 0) {
			forwardOrRefuseQueued(NotRunReason.NO_ENDPOINT);
		}
		return finishEvent();
	}

	synchronized List<RequestAction> updatePeers(MonotonicTime time, List<PeerReport> reports) {
		startEvent(time);
		Set<VmId> named = new HashSet<>();
		for (PeerReport report : reports) {
			named.add(report.peer());
			this.peersById.computeIfAbsent(report.peer(), PeerView::new).update(report);
		}
		this.peersById.keySet().retainAll(named);
		this.peers = List.copyOf(this.peersById.values());
		forwardQueued();
		return finishEvent();
	}

	synchronized List<RequestAction> offer(MonotonicTime time, IncomingRequest request, ServicePolicy policy) {
		startEvent(time);
		if (!this.register.test(request.id())) {
			return this.actions;
		}
		fireTimers();
		Urgency urgency = TrackedRequest.effectiveUrgency(request, policy);
		RunTimeGroup group = this.runTimes.group(policy, urgency, request.declaredMillis());
		RetryBudget budget = this.budgets.computeIfAbsent(policy.service(), (service) -> new RetryBudget());
		TrackedRequest tracked = new TrackedRequest(request, policy, group, budget, team(policy), this.sequence++);
		this.trackedRequests.put(tracked.id, tracked);
		admit(tracked);
		return finishEvent();
	}

	synchronized List<RequestAction> attemptCompleted(MonotonicTime time, RequestId id, AttemptResult result) {
		startEvent(time);
		TrackedRequest tracked = this.trackedRequests.get(id);
		Attempt attempt = (tracked != null) ? tracked.openAttempt(result.attempt()) : null;
		if (attempt == null) {
			this.counters.discarded++;
		}
		else if (!attempt.awaitingResult) {
			this.counters.discarded++;
			if (!(result instanceof AttemptResult.Broken)) {
				if (attempt.endpoint != null && result instanceof AttemptResult.Refused refused && refused.leaving()) {
					this.endpoints.refused(this.now, attempt, true);
				}
				endAttempt(attempt);
			}
		}
		else {
			handleResult(attempt, result);
		}
		return finishEvent();
	}

	synchronized List<RequestAction> cancel(MonotonicTime time, RequestId id) {
		startEvent(time);
		TrackedRequest tracked = this.trackedRequests.get(id);
		if (tracked != null && !tracked.closed) {
			dequeue(tracked);
			this.completer.close(tracked);
		}
		return finishEvent();
	}

	synchronized List<RequestAction> updateInFlight(MonotonicTime time, EndpointId id, MonotonicTime queriedAt,
			int inFlight) {
		Endpoint endpoint = this.slots.find(id);
		if (endpoint == null) {
			return List.of();
		}
		startEvent(time);
		this.slots.update(endpoint, () -> endpoint.inherited = Math.min(endpoint.inherited, inFlight));
		List<Attempt> brokenAttempts = this.trackedRequests.values()
			.stream()
			.flatMap((tracked) -> tracked.openAttempts.stream())
			.filter((attempt) -> attempt.endpoint == endpoint && !attempt.awaitingResult
					&& attempt.brokenAt - queriedAt.nanos() < 0)
			.sorted(Comparator.comparingLong((attempt) -> attempt.brokenAt))
			.toList();
		brokenAttempts.subList(0, Math.max(0, brokenAttempts.size() - inFlight)).forEach(this::endAttempt);
		return finishEvent();
	}

	synchronized List<RequestAction> tick(MonotonicTime time) {
		startEvent(time);
		return finishEvent();
	}

	synchronized List<RequestAction> drain(MonotonicTime time) {
		startEvent(time);
		if (!this.draining) {
			this.draining = true;
			forwardQueued();
			this.timers.schedule(this.now + this.defaults.drainGrace().toNanos(), () -> {
				this.drainGraceEnded = true;
				for (TrackedRequest tracked : queuedTickets()) {
					dequeue(tracked);
					this.completer.refuse(tracked, NotRunReason.SHUTTING_DOWN, 0, this.actions);
				}
			});
		}
		return finishEvent();
	}

	/**
	 * Returns the instant at which {@link #tick} must be called next. Does not acquire
	 * the lock.
	 * @return the instant, or empty if nothing is due
	 */
	Optional<MonotonicTime> nextWakeUp() {
		long at = this.nextWakeUpNanos;
		return (at != NEVER) ? Optional.of(new MonotonicTime(at)) : Optional.empty();
	}

	synchronized PoolSnapshot snapshot(MonotonicTime time) {
		boolean room = !this.draining && this.counters.queued(Urgency.URGENT) == 0;
		return new PoolSnapshot(this.key, this.slots.usable(), room ? this.slots.free() : 0,
				this.counters.urgentInUse + this.counters.nonUrgentInUse, this.counters.stragglers,
				this.counters.totalQueued(), reportedWait(), this.counters.dispatched, this.counters.forwarded,
				this.counters.delivered, this.counters.refused, this.counters.unknown, this.counters.retried,
				this.counters.hedged, this.counters.discarded);
	}

	synchronized Map<EndpointId, Integer> inFlightByEndpoint() {
		Map<EndpointId, Integer> counts = new HashMap<>();
		this.slots.all().forEach((endpoint) -> counts.put(endpoint.id, endpoint.inUse));
		return counts;
	}

	private void startEvent(MonotonicTime time) {
		this.now = time.nanos();
		this.actions = new ArrayList<>();
	}

	private List<RequestAction> finishEvent() {
		fireTimers();
		this.reserve.observeDemand(this.now, this.counters.urgentInUse + this.counters.queued(Urgency.URGENT));
		dispatchQueued();
		scheduleRecheck();
		TimerQueue.Timer first = this.timers.first();
		this.nextWakeUpNanos = (first != null) ? first.at() : NEVER;
		return this.actions;
	}

	/**
	 * Schedules a check if non-urgent requests are queued while slots are free, because
	 * the reserve shrinks over time without any event.
	 */
	private void scheduleRecheck() {
		boolean waits = this.counters.totalQueued() > this.counters.queued(Urgency.URGENT) && this.slots.free() > 0;
		if (waits && !this.recheckPending) {
			this.recheckPending = true;
			this.timers.schedule(this.now + RECHECK_NANOS, () -> this.recheckPending = false);
		}
	}

	private void fireTimers() {
		for (Runnable task = this.timers.pollDue(this.now); task != null; task = this.timers.pollDue(this.now)) {
			task.run();
		}
	}

	private void admit(TrackedRequest tracked) {
		if (this.draining) {
			this.completer.refuse(tracked, NotRunReason.SHUTTING_DOWN, 0, this.actions);
			return;
		}
		if (tracked.deadline - this.now <= 0) {
			this.completer.refuse(tracked, NotRunReason.DEADLINE_PASSED, 0, this.actions);
			return;
		}
		tracked.budget.requestAdmitted(tracked.policy.retryBudget());
		tracked.deadlineTimer = this.timers.schedule(tracked.deadline, () -> deadlinePassed(tracked));
		long wait = waitNanos(tracked);
		if (tryForward(tracked, wait)) {
			return;
		}
		if (tracked.request.forwarded() && tracked.urgency == Urgency.BATCH && wait > 0) {
			// The sending entry VM keeps a batch request queued until some entry VM has a
			// slot. A deferrable request has no such sender; its record waits here.
			this.completer.refuse(tracked, NotRunReason.QUEUE_FULL, 0, this.actions);
			return;
		}
		NotRunReason reason = (wait == Long.MAX_VALUE) ? NotRunReason.NO_ENDPOINT : AdmissionRule.refusal(tracked,
				this.now, wait, this.queuedByService.getOrDefault(tracked.policy.service(), 0), atQuota(tracked.team));
		if (reason == NotRunReason.NO_ENDPOINT) {
			this.completer.refuse(tracked, reason, NO_ENDPOINT_RETRY_MILLIS, this.actions);
		}
		else if (reason != null) {
			this.completer.refuse(tracked, reason, AdmissionRule.retryAfterMillis(tracked, this.now, wait, this.random),
					this.actions);
		}
		else {
			enqueue(tracked);
		}
	}

	private void handleResult(Attempt attempt, AttemptResult result) {
		attempt.awaitingResult = false;
		TrackedRequest tracked = attempt.tracked;
		if (result instanceof AttemptResult.Answered answer) {
			if (attempt.endpoint != null) {
				this.endpoints.answered(this.now, attempt, answer.observedNanos(), answer.serverError());
				if (!answer.serverError()) {
					tracked.group.observe(answer.observedNanos());
				}
			}
			endAttempt(attempt);
			if (tracked.closed) {
				this.counters.discarded++;
			}
			else {
				dequeue(tracked);
				this.completer.deliver(tracked, attempt.number, this.actions);
			}
		}
		else if (result instanceof AttemptResult.Broken) {
			if (attempt.endpoint != null) {
				this.endpoints.failed(this.now, attempt);
			}
			tracked.mayHaveRun = true;
			tracked.brokenAttempts++;
			attempt.brokenAt = this.now;
			if (attempt.peer != null) {
				endAttempt(attempt);
			}
			retryBroken(attempt);
		}
		else {
			handleNotRun(attempt, result);
		}
	}

	private void handleNotRun(Attempt attempt, AttemptResult result) {
		TrackedRequest tracked = attempt.tracked;
		if (attempt.peer != null) {
			attempt.peer.requestRefused(tracked.isUrgent());
			tracked.peerRefusals++;
		}
		else if (result instanceof AttemptResult.Refused refused) {
			this.endpoints.refused(this.now, attempt, refused.leaving());
		}
		else {
			this.endpoints.failed(this.now, attempt);
		}
		endAttempt(attempt);
		tracked.endpointRefusals += (attempt.endpoint != null) ? 1 : 0;
		if (tracked.closed || tracked.queued || tracked.awaitsResult()) {
			return;
		}
		if (RetryRule.maySendElsewhere(tracked, this.now)) {
			requeue(tracked, attempt);
		}
		else {
			this.completer.refuse(tracked, NotRunReason.REFUSED_BY_ENDPOINTS,
					AdmissionRule.retryAfterMillis(tracked, this.now, 0, this.random), this.actions);
		}
	}

	private void retryBroken(Attempt attempt) {
		TrackedRequest tracked = attempt.tracked;
		if (tracked.closed || tracked.queued || tracked.awaitsResult()) {
			return;
		}
		if (RetryRule.mayRunAgain(tracked, this.now, overloaded())) {
			tracked.budget.spend();
			requeue(tracked, attempt);
		}
		else {
			this.completer.reportUnknown(tracked, this.actions);
		}
	}

	private void requeue(TrackedRequest tracked, Attempt failed) {
		if (failed.endpoint != null) {
			tracked.avoidedEndpoints.add(failed.endpoint);
		}
		if (this.drainGraceEnded) {
			this.completer.refuse(tracked, NotRunReason.SHUTTING_DOWN, 0, this.actions);
			return;
		}
		if (this.slots.accepting() > 0) {
			this.counters.retried++;
			enqueue(tracked);
		}
		else if (!tryForward(tracked, Long.MAX_VALUE)) {
			this.completer.refuse(tracked, NotRunReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS, this.actions);
		}
	}

	private void deadlinePassed(TrackedRequest tracked) {
		dequeue(tracked);
		long releaseTime = tracked.deadline + this.defaults.slotReleaseDelay().toNanos();
		for (Attempt attempt : tracked.openAttempts) {
			attempt.slotReleaseTimer = this.timers.schedule(releaseTime, () -> slotReleaseDelayExpired(attempt));
		}
		if (!tracked.closed) {
			this.completer.refuse(tracked, NotRunReason.DEADLINE_PASSED, 0, this.actions);
		}
	}

	private void dispatchQueued() {
		for (Urgency urgency : Urgency.values()) {
			List<TeamQueue> passedOver = new ArrayList<>(0);
			while (this.counters.queued(urgency) > 0 && hasSlotFor(urgency)) {
				TeamQueue team = FairShareRule.chooseTeam(this.teams.values(), urgency, this.slots.capacity(),
						passedOver);
				if (team == null) {
					break;
				}
				if (!dispatchFirst(team, urgency)) {
					passedOver.add(team);
				}
			}
		}
	}

	private boolean hasSlotFor(Urgency urgency) {
		if (urgency != Urgency.URGENT
				&& this.counters.nonUrgentInUse >= this.reserve.nonUrgentLimit(this.slots.usable())) {
			return false;
		}
		return this.slots.free() > 0 || this.slots.nextProbe() != null;
	}

	private boolean dispatchFirst(TeamQueue team, Urgency urgency) {
		TrackedRequest tracked = firstStartable(team, urgency);
		if (tracked == null) {
			return false;
		}
		long left = tracked.deadline - this.now;
		boolean late = tracked.group.inFlight() > 0 && tracked.group.observed()
				&& 2 * left < tracked.group.medianNanos();
		if (left <= 0 || late) {
			dequeue(tracked);
			this.completer.refuse(tracked, late ? NotRunReason.DEADLINE_TOO_CLOSE : NotRunReason.DEADLINE_PASSED, 0,
					this.actions);
			return true;
		}
		Endpoint probe = mayProbe(tracked) ? this.slots.nextProbe() : null;
		Endpoint endpoint = (probe != null) ? probe
				: this.slots.chooseLeastLoaded(this.random, tracked.avoidedEndpoints);
		if (endpoint == null) {
			endpoint = this.slots.chooseLeastLoaded(this.random, List.of());
		}
		if (endpoint == null) {
			return false;
		}
		dequeue(tracked);
		dispatch(tracked, endpoint, probe != null);
		return true;
	}

	private TrackedRequest firstStartable(TeamQueue team, Urgency urgency) {
		int seen = 0;
		for (TrackedRequest tracked : team.waiting(urgency)) {
			if (urgency == Urgency.URGENT
					|| !StragglerRule.mustWait(tracked.group, this.counters.stragglers, this.slots.usable())) {
				return tracked;
			}
			if (++seen == LOOKAHEAD) {
				return null;
			}
		}
		return null;
	}

	private boolean mayProbe(TrackedRequest tracked) {
		boolean risksLittle = tracked.repeatable || !tracked.policy.repeatable();
		return risksLittle && tracked.deadline - this.now > PROBE_MEDIANS * tracked.group.medianNanos();
	}

	private void dispatch(TrackedRequest tracked, Endpoint endpoint, boolean probe) {
		this.slots.acquire(endpoint);
		if (probe) {
			this.slots.update(endpoint, endpoint.health::probeStarted);
		}
		Attempt attempt = addAttempt(tracked, endpoint, null, probe);
		tracked.team.slotTaken();
		tracked.group.started();
		this.counters.slotTaken(tracked, 1);
		this.counters.dispatched++;
		attempt.stragglerTimer = this.timers.schedule(this.now + StragglerRule.thresholdNanos(tracked.group),
				() -> becameStraggler(attempt));
		if (HedgeRule.appliesTo(tracked)) {
			attempt.hedgeTimer = this.timers.schedule(this.now + HedgeRule.delayNanos(tracked.group),
					() -> hedge(attempt));
		}
		this.actions.add(new RequestAction.Dispatch(tracked.id, attempt.number, endpoint.id, tracked.deadlineTime()));
	}

	private boolean tryForward(TrackedRequest tracked, long wait) {
		if (wait == 0) {
			return false;
		}
		PeerView peer = ForwardRule.choosePeer(tracked, this.now, wait, this.peers,
				this.defaults.maxPeerReportAge().toNanos(), this.random);
		if (peer == null) {
			return false;
		}
		peer.requestSent();
		Attempt attempt = addAttempt(tracked, null, peer, false);
		this.counters.forwarded++;
		this.actions.add(new RequestAction.Forward(tracked.id, attempt.number, peer.id, tracked.deadlineTime()));
		return true;
	}

	private Attempt addAttempt(TrackedRequest tracked, Endpoint endpoint, PeerView peer, boolean probe) {
		Attempt attempt = new Attempt(tracked, ++tracked.attemptCount, endpoint, peer, this.now, probe);
		tracked.openAttempts.add(attempt);
		return attempt;
	}

	private void endAttempt(Attempt attempt) {
		TrackedRequest tracked = attempt.tracked;
		this.timers.cancel(attempt.slotReleaseTimer);
		this.timers.cancel(attempt.stragglerTimer);
		this.timers.cancel(attempt.hedgeTimer);
		tracked.openAttempts.remove(attempt);
		if (attempt.endpoint != null) {
			this.slots.release(attempt.endpoint);
			tracked.team.slotReleased();
			tracked.group.ended(attempt.straggler);
			this.counters.slotTaken(tracked, -1);
			this.counters.stragglers -= attempt.straggler ? 1 : 0;
		}
		this.completer.removeIfDone(tracked);
	}

	private void slotReleaseDelayExpired(Attempt attempt) {
		if (attempt.awaitingResult) {
			attempt.awaitingResult = false;
			attempt.tracked.mayHaveRun = true;
			if (attempt.endpoint != null) {
				this.endpoints.failed(this.now, attempt);
			}
		}
		endAttempt(attempt);
	}

	private void becameStraggler(Attempt attempt) {
		this.endpoints.becameStraggler(this.now, attempt);
		attempt.straggler = true;
		attempt.tracked.group.becameStraggler();
		this.counters.stragglers++;
	}

	private void hedge(Attempt attempt) {
		TrackedRequest tracked = attempt.tracked;
		if (tracked.closed || !attempt.awaitingResult
				|| !HedgeRule.mayHedge(tracked, this.now, overloaded(), this.slots.free(), this.slots.usable())
				|| atQuota(tracked.team)) {
			return;
		}
		Endpoint endpoint = this.slots.chooseLeastLoaded(this.random, List.of(attempt.endpoint));
		if (endpoint != null) {
			tracked.budget.spend();
			tracked.hedged = true;
			this.counters.hedged++;
			dispatch(tracked, endpoint, false);
		}
	}

	private void enqueue(TrackedRequest tracked) {
		tracked.queued = true;
		tracked.team.add(tracked);
		this.counters.queued(tracked.urgency, 1);
		this.queuedByService.merge(tracked.policy.service(), 1, Integer::sum);
	}

	private void dequeue(TrackedRequest tracked) {
		if (tracked.queued) {
			tracked.queued = false;
			tracked.team.remove(tracked);
			this.counters.queued(tracked.urgency, -1);
			this.queuedByService.merge(tracked.policy.service(), -1, Integer::sum);
		}
	}

	private void forwardQueued() {
		for (Urgency urgency : Urgency.values()) {
			for (TeamQueue team : this.teams.values()) {
				forwardQueued(team, urgency);
			}
		}
	}

	private void forwardQueued(TeamQueue team, Urgency urgency) {
		while (!team.waiting(urgency).isEmpty()) {
			TrackedRequest tracked = team.waiting(urgency).first();
			if (!tryForward(tracked, this.draining ? DRAIN_WAIT_NANOS : waitNanos(tracked))) {
				return;
			}
			dequeue(tracked);
		}
	}

	private void forwardOrRefuseQueued(NotRunReason reason) {
		for (TrackedRequest tracked : queuedTickets()) {
			dequeue(tracked);
			if (!tryForward(tracked, Long.MAX_VALUE)) {
				this.completer.refuse(tracked, reason, NO_ENDPOINT_RETRY_MILLIS, this.actions);
			}
		}
	}

	private List<TrackedRequest> queuedTickets() {
		return this.trackedRequests.values()
			.stream()
			.filter((tracked) -> tracked.queued)
			.sorted(TrackedRequest.BY_DEADLINE)
			.toList();
	}

	private boolean overloaded() {
		return this.counters.queued(Urgency.URGENT) > 0 || this.slots.free() == 0;
	}

	private boolean atQuota(TeamQueue team) {
		return team.atQuota(this.slots.capacity());
	}

	/**
	 * Estimates the wait of a request that is not queued yet.
	 * @param tracked the request
	 * @return the wait in nanoseconds; {@link Long#MAX_VALUE} if no endpoint accepts work
	 */
	private long waitNanos(TrackedRequest tracked) {
		if (this.slots.accepting() == 0) {
			return Long.MAX_VALUE;
		}
		boolean atQuota = atQuota(tracked.team);
		int urgentQueued = this.counters.queued(Urgency.URGENT);
		int limit = tracked.isUrgent() ? Integer.MAX_VALUE : this.reserve.nonUrgentLimit(this.slots.usable());
		int queued = tracked.isUrgent() ? urgentQueued : this.counters.totalQueued();
		boolean room = this.slots.free() > 0 && (tracked.isUrgent() || this.counters.nonUrgentInUse < limit);
		if ((room && queued == 0 && !atQuota) || this.slots.nextProbe() != null) {
			return 0;
		}
		if (this.slots.usable() == 0 && this.counters.urgentInUse + this.counters.nonUrgentInUse == 0
				&& !this.endpoints.anyPaused()) {
			return Long.MAX_VALUE;
		}
		double rate = this.runTimes.nonUrgentReleaseRate();
		if (tracked.isUrgent()) {
			rate += this.runTimes.urgentReleaseRate();
		}
		if (atQuota) {
			int inUse = this.counters.urgentInUse + this.counters.nonUrgentInUse;
			rate = rate * tracked.team.inUse() / Math.max(1, inUse);
		}
		return WaitEstimator.waitNanos(WaitEstimator.requestsAhead(tracked, this.teams.values()), rate,
				tracked.group.meanNanos());
	}

	private Duration reportedWait() {
		int queued = this.counters.queued(Urgency.URGENT);
		if (this.slots.usable() == 0 || this.draining) {
			return UNAVAILABLE_WAIT;
		}
		if (queued == 0 && this.slots.free() > 0) {
			return Duration.ZERO;
		}
		double rate = this.runTimes.urgentReleaseRate() + this.runTimes.nonUrgentReleaseRate();
		return Duration.ofNanos(WaitEstimator.waitNanos(queued, rate, UNAVAILABLE_WAIT.toNanos()));
	}

	private TeamQueue team(ServicePolicy policy) {
		return this.teams.computeIfAbsent(policy.service().team(), (id) -> {
			TeamQueue team = new TeamQueue(id);
			team.updateLimits(policy.weight(), policy.quota());
			return team;
		});
	}

}
