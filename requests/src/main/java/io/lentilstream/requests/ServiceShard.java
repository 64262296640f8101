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
 * Holds the requests and endpoints of one pool under one lock and applies the rules to
 * each event.
 */
final class ServiceShard {

	/** The wait that is reported while no endpoint takes work. */
	private static final Duration UNAVAILABLE_WAIT = Duration.ofHours(1);

	/** Waiting requests of a team that are looked at to pass over held back ones. */
	private static final int LOOKAHEAD = 16;

	/** Time left, in medians of the run time, that a request must have to be a probe. */
	private static final int PROBE_MEDIANS = 8;

	/** Prefers every peer with a free slot to waiting here during a drain. */
	private static final long DRAIN_WAIT_NANOS = Long.MAX_VALUE - 1;

	/** How soon batch work is looked at again that waits for the urgent reserve. */
	private static final long RECHECK_NANOS = 50_000_000L;

	private static final long NEVER = Long.MAX_VALUE;

	private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;

	private final ServiceKey key;

	private final RequestDefaults defaults;

	private final RandomGenerator random;

	private final Predicate<RequestId> register;

	private final TimerQueue timers = new TimerQueue();

	private final ShardCounters counters = new ShardCounters();

	private final SlotLedger ledger = new SlotLedger();

	private final RunTimeEstimator runTimes = new RunTimeEstimator();

	private final UrgentReserveRule reserve = new UrgentReserveRule();

	private final EndpointControl control;

	private final FinalActions finals;

	private final Map<RequestId, Ticket> tickets = new HashMap<>();

	private final Map<TeamId, TeamQueue> teams = new HashMap<>();

	private final Map<ServiceKey, RetryBudget> budgets = new HashMap<>();

	private final Map<ServiceKey, Integer> queuedByService = new HashMap<>();

	private final Map<VmId, PeerView> peersById = new HashMap<>();

	private List<PeerView> peers = List.of();

	private List<RequestAction> actions = new ArrayList<>();

	private long now;

	private long sequence;

	private volatile long nextWakeUpNanos = NEVER;

	private boolean recheckScheduled;

	private boolean draining;

	private boolean drainEnded;

	/**
	 * Creates an empty pool.
	 * @param key the team and service that owns the endpoints
	 * @param defaults the settings that apply to every service
	 * @param random breaks ties and spreads retries
	 * @param register claims a request id for this pool, unless it is in progress; it is
	 * called under the lock, so that the claim and the request appear at once
	 * @param forget gives an id up
	 */
	ServiceShard(ServiceKey key, RequestDefaults defaults, RandomGenerator random,
			BiPredicate<RequestId, ServiceShard> register, Consumer<RequestId> forget) {
		this.register = (id) -> register.test(id, this);
		this.key = key;
		this.defaults = defaults;
		this.random = random;
		this.control = new EndpointControl(this.ledger, this.timers, defaults);
		this.finals = new FinalActions(this.tickets, this.timers, this.counters, forget);
	}

	synchronized List<RequestAction> updatePolicy(MonotonicTime time, ServicePolicy policy) {
		begin(time);
		team(policy).limit(policy.weight(), policy.quota());
		return finish();
	}

	synchronized List<RequestAction> updateEndpoints(MonotonicTime time, List<OwnedEndpoint> owned) {
		begin(time);
		this.control.update(this.now, owned);
		if (this.ledger.accepting() == 0) {
			moveQueued(NotRunReason.NO_ENDPOINT);
		}
		return finish();
	}

	synchronized List<RequestAction> updatePeers(MonotonicTime time, List<PeerReport> reports) {
		begin(time);
		Set<VmId> named = new HashSet<>();
		for (PeerReport report : reports) {
			named.add(report.peer());
			this.peersById.computeIfAbsent(report.peer(), PeerView::new).update(report);
		}
		this.peersById.keySet().retainAll(named);
		this.peers = List.copyOf(this.peersById.values());
		forwardQueued();
		return finish();
	}

	synchronized List<RequestAction> offer(MonotonicTime time, IncomingRequest request, ServicePolicy policy) {
		begin(time);
		if (!this.register.test(request.id())) {
			return this.actions;
		}
		fireTimers();
		Urgency urgency = Ticket.effectiveUrgency(request, policy);
		RunTimeGroup group = this.runTimes.group(policy, urgency, request.declaredMillis());
		RetryBudget budget = this.budgets.computeIfAbsent(policy.service(), (service) -> new RetryBudget());
		Ticket ticket = new Ticket(request, policy, group, budget, team(policy), this.sequence++);
		this.tickets.put(ticket.id, ticket);
		admit(ticket);
		return finish();
	}

	synchronized List<RequestAction> completed(MonotonicTime time, RequestId id, AttemptResult result) {
		begin(time);
		Ticket ticket = this.tickets.get(id);
		Attempt attempt = (ticket != null) ? ticket.attempt(result.attempt()) : null;
		if (attempt == null) {
			this.counters.discarded++;
		}
		else if (!attempt.awaited) {
			this.counters.discarded++;
			if (!(result instanceof AttemptResult.Broken)) {
				if (attempt.endpoint != null && result instanceof AttemptResult.Refused refused && refused.leaving()) {
					this.control.refused(this.now, attempt, true);
				}
				end(attempt);
			}
		}
		else {
			take(attempt, result);
		}
		return finish();
	}

	synchronized List<RequestAction> cancelled(MonotonicTime time, RequestId id) {
		begin(time);
		Ticket ticket = this.tickets.get(id);
		if (ticket != null && !ticket.closed) {
			dequeue(ticket);
			this.finals.close(ticket);
		}
		return finish();
	}

	synchronized List<RequestAction> endpointCounted(MonotonicTime time, EndpointId id, MonotonicTime askedAt,
			int inFlight) {
		Endpoint endpoint = this.ledger.find(id);
		if (endpoint == null) {
			return List.of();
		}
		begin(time);
		this.ledger.change(endpoint, () -> endpoint.baseline = Math.min(endpoint.baseline, inFlight));
		List<Attempt> held = this.tickets.values()
			.stream()
			.flatMap((ticket) -> ticket.open.stream())
			.filter((attempt) -> attempt.endpoint == endpoint && !attempt.awaited
					&& attempt.brokenAt - askedAt.nanos() < 0)
			.sorted(Comparator.comparingLong((attempt) -> attempt.brokenAt))
			.toList();
		held.subList(0, Math.max(0, held.size() - inFlight)).forEach(this::end);
		return finish();
	}

	synchronized List<RequestAction> tick(MonotonicTime time) {
		begin(time);
		return finish();
	}

	synchronized List<RequestAction> drain(MonotonicTime time) {
		begin(time);
		if (!this.draining) {
			this.draining = true;
			forwardQueued();
			this.timers.schedule(this.now + this.defaults.drainGrace().toNanos(), () -> {
				this.drainEnded = true;
				for (Ticket ticket : queuedTickets()) {
					dequeue(ticket);
					this.finals.refuse(ticket, NotRunReason.SHUTTING_DOWN, 0, this.actions);
				}
			});
		}
		return finish();
	}

	/**
	 * Returns the instant at which {@link #tick} has something to do, without the lock.
	 * @return the instant, or empty if nothing is due
	 */
	Optional<MonotonicTime> nextWakeUp() {
		long at = this.nextWakeUpNanos;
		return (at != NEVER) ? Optional.of(new MonotonicTime(at)) : Optional.empty();
	}

	synchronized PoolSnapshot snapshot(MonotonicTime time) {
		boolean room = !this.draining && this.counters.queued(Urgency.URGENT) == 0;
		return new PoolSnapshot(this.key, this.ledger.usable(), room ? this.ledger.free() : 0,
				this.counters.urgentInUse + this.counters.quietInUse, this.counters.stragglers,
				this.counters.allQueued(), reportedWait(), this.counters.dispatched, this.counters.forwarded,
				this.counters.delivered, this.counters.refused, this.counters.unknown, this.counters.retried,
				this.counters.hedged, this.counters.discarded);
	}

	synchronized Map<EndpointId, Integer> inFlightByEndpoint() {
		Map<EndpointId, Integer> counts = new HashMap<>();
		this.ledger.all().forEach((endpoint) -> counts.put(endpoint.id, endpoint.inUse));
		return counts;
	}

	private void begin(MonotonicTime time) {
		this.now = time.nanos();
		this.actions = new ArrayList<>();
	}

	private List<RequestAction> finish() {
		fireTimers();
		this.reserve.observe(this.now, this.counters.urgentInUse + this.counters.queued(Urgency.URGENT));
		dispatchQueued();
		scheduleRecheck();
		TimerQueue.Timer first = this.timers.first();
		this.nextWakeUpNanos = (first != null) ? first.at() : NEVER;
		return this.actions;
	}

	/**
	 * Wakes the pool up when batch work waits beside free slots: the reserve shrinks with
	 * time, without any event.
	 */
	private void scheduleRecheck() {
		boolean waits = this.counters.allQueued() > this.counters.queued(Urgency.URGENT) && this.ledger.free() > 0;
		if (waits && !this.recheckScheduled) {
			this.recheckScheduled = true;
			this.timers.schedule(this.now + RECHECK_NANOS, () -> this.recheckScheduled = false);
		}
	}

	private void fireTimers() {
		for (Runnable task = this.timers.pollDue(this.now); task != null; task = this.timers.pollDue(this.now)) {
			task.run();
		}
	}

	private void admit(Ticket ticket) {
		if (this.draining) {
			this.finals.refuse(ticket, NotRunReason.SHUTTING_DOWN, 0, this.actions);
			return;
		}
		if (ticket.deadline - this.now <= 0) {
			this.finals.refuse(ticket, NotRunReason.DEADLINE_PASSED, 0, this.actions);
			return;
		}
		ticket.budget.requestAdmitted(ticket.policy.retryBudget());
		ticket.deadlineTimer = this.timers.schedule(ticket.deadline, () -> deadlinePassed(ticket));
		long wait = waitNanos(ticket);
		if (forwards(ticket, wait)) {
			return;
		}
		if (ticket.request.forwarded() && ticket.urgency == Urgency.BATCH && wait > 0) {
			// The sender's queue keeps batch work until an entry VM has a slot for it. A
			// deferrable request has no sender that would: its record waits here for a
			// slot.
			this.finals.refuse(ticket, NotRunReason.QUEUE_FULL, 0, this.actions);
			return;
		}
		NotRunReason reason = (wait == Long.MAX_VALUE) ? NotRunReason.NO_ENDPOINT : AdmissionRule.refusal(ticket,
				this.now, wait, this.queuedByService.getOrDefault(ticket.policy.service(), 0), atQuota(ticket.team));
		if (reason == NotRunReason.NO_ENDPOINT) {
			this.finals.refuse(ticket, reason, NO_ENDPOINT_RETRY_MILLIS, this.actions);
		}
		else if (reason != null) {
			this.finals.refuse(ticket, reason, AdmissionRule.retryAfterMillis(ticket, this.now, wait, this.random),
					this.actions);
		}
		else {
			enqueue(ticket);
		}
	}

	private void take(Attempt attempt, AttemptResult result) {
		attempt.awaited = false;
		Ticket ticket = attempt.ticket;
		if (result instanceof AttemptResult.Answered answer) {
			if (attempt.endpoint != null) {
				this.control.answered(this.now, attempt, answer.observedNanos(), answer.serverError());
				if (!answer.serverError()) {
					ticket.group.observe(answer.observedNanos());
				}
			}
			end(attempt);
			if (ticket.closed) {
				this.counters.discarded++;
			}
			else {
				dequeue(ticket);
				this.finals.deliver(ticket, attempt.number, this.actions);
			}
		}
		else if (result instanceof AttemptResult.Broken) {
			if (attempt.endpoint != null) {
				this.control.failed(this.now, attempt);
			}
			ticket.mayHaveRun = true;
			ticket.brokenAttempts++;
			attempt.brokenAt = this.now;
			if (attempt.peer != null) {
				end(attempt);
			}
			runAgain(attempt);
		}
		else {
			notRun(attempt, result);
		}
	}

	private void notRun(Attempt attempt, AttemptResult result) {
		Ticket ticket = attempt.ticket;
		if (attempt.peer != null) {
			attempt.peer.refused(ticket.isUrgent());
			ticket.forwardRefusals++;
		}
		else if (result instanceof AttemptResult.Refused refused) {
			this.control.refused(this.now, attempt, refused.leaving());
		}
		else {
			this.control.failed(this.now, attempt);
		}
		end(attempt);
		ticket.refusals += (attempt.endpoint != null) ? 1 : 0;
		if (ticket.closed || ticket.queued || ticket.awaitsResult()) {
			return;
		}
		if (RetryRule.maySendElsewhere(ticket, this.now)) {
			requeue(ticket, attempt);
		}
		else {
			this.finals.refuse(ticket, NotRunReason.REFUSED_BY_ENDPOINTS,
					AdmissionRule.retryAfterMillis(ticket, this.now, 0, this.random), this.actions);
		}
	}

	private void runAgain(Attempt attempt) {
		Ticket ticket = attempt.ticket;
		if (ticket.closed || ticket.queued || ticket.awaitsResult()) {
			return;
		}
		if (RetryRule.mayRunAgain(ticket, this.now, overloaded())) {
			ticket.budget.spend();
			requeue(ticket, attempt);
		}
		else {
			this.finals.reportUnknown(ticket, this.actions);
		}
	}

	private void requeue(Ticket ticket, Attempt failed) {
		if (failed.endpoint != null) {
			ticket.avoided.add(failed.endpoint);
		}
		if (this.drainEnded) {
			this.finals.refuse(ticket, NotRunReason.SHUTTING_DOWN, 0, this.actions);
			return;
		}
		if (this.ledger.accepting() > 0) {
			this.counters.retried++;
			enqueue(ticket);
		}
		else if (!forwards(ticket, Long.MAX_VALUE)) {
			this.finals.refuse(ticket, NotRunReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS, this.actions);
		}
	}

	private void deadlinePassed(Ticket ticket) {
		dequeue(ticket);
		long holdEnd = ticket.deadline + this.defaults.slotHoldMargin().toNanos();
		for (Attempt attempt : ticket.open) {
			attempt.holdTimer = this.timers.schedule(holdEnd, () -> holdEnded(attempt));
		}
		if (!ticket.closed) {
			this.finals.refuse(ticket, NotRunReason.DEADLINE_PASSED, 0, this.actions);
		}
	}

	private void dispatchQueued() {
		for (Urgency urgency : Urgency.values()) {
			List<TeamQueue> passedOver = new ArrayList<>(0);
			while (this.counters.queued(urgency) > 0 && hasRoomFor(urgency)) {
				TeamQueue team = FairShareRule.next(this.teams.values(), urgency, this.ledger.capacity(), passedOver);
				if (team == null) {
					break;
				}
				if (!dispatchFirst(team, urgency)) {
					passedOver.add(team);
				}
			}
		}
	}

	private boolean hasRoomFor(Urgency urgency) {
		if (urgency != Urgency.URGENT && this.counters.quietInUse >= this.reserve.quietLimit(this.ledger.usable())) {
			return false;
		}
		return this.ledger.free() > 0 || this.ledger.nextProbe() != null;
	}

	private boolean dispatchFirst(TeamQueue team, Urgency urgency) {
		Ticket ticket = firstStartable(team, urgency);
		if (ticket == null) {
			return false;
		}
		long left = ticket.deadline - this.now;
		boolean late = ticket.group.inFlight() > 0 && ticket.group.observed() && 2 * left < ticket.group.medianNanos();
		if (left <= 0 || late) {
			dequeue(ticket);
			this.finals.refuse(ticket, late ? NotRunReason.DEADLINE_TOO_CLOSE : NotRunReason.DEADLINE_PASSED, 0,
					this.actions);
			return true;
		}
		Endpoint probe = mayProbe(ticket) ? this.ledger.nextProbe() : null;
		Endpoint endpoint = (probe != null) ? probe : this.ledger.choose(this.random, ticket.avoided);
		if (endpoint == null) {
			endpoint = this.ledger.choose(this.random, List.of());
		}
		if (endpoint == null) {
			return false;
		}
		dequeue(ticket);
		dispatch(ticket, endpoint, probe != null);
		return true;
	}

	private Ticket firstStartable(TeamQueue team, Urgency urgency) {
		int seen = 0;
		for (Ticket ticket : team.waiting(urgency)) {
			if (urgency == Urgency.URGENT
					|| !StragglerRule.holdsBack(ticket.group, this.counters.stragglers, this.ledger.usable())) {
				return ticket;
			}
			if (++seen == LOOKAHEAD) {
				return null;
			}
		}
		return null;
	}

	private boolean mayProbe(Ticket ticket) {
		boolean risksLittle = ticket.repeatable || !ticket.policy.repeatable();
		return risksLittle && ticket.deadline - this.now > PROBE_MEDIANS * ticket.group.medianNanos();
	}

	private void dispatch(Ticket ticket, Endpoint endpoint, boolean probe) {
		this.ledger.take(endpoint);
		if (probe) {
			this.ledger.change(endpoint, endpoint.health::probeStarted);
		}
		Attempt attempt = start(ticket, endpoint, null, probe);
		ticket.team.slotTaken();
		ticket.group.started();
		this.counters.slotTaken(ticket, 1);
		this.counters.dispatched++;
		attempt.overdueTimer = this.timers.schedule(this.now + StragglerRule.overdueAfterNanos(ticket.group),
				() -> becameOverdue(attempt));
		if (HedgeRule.appliesTo(ticket)) {
			attempt.hedgeTimer = this.timers.schedule(this.now + HedgeRule.delayNanos(ticket.group),
					() -> hedge(attempt));
		}
		this.actions.add(new RequestAction.Dispatch(ticket.id, attempt.number, endpoint.id, ticket.deadlineTime()));
	}

	private boolean forwards(Ticket ticket, long wait) {
		if (wait == 0) {
			return false;
		}
		PeerView peer = ForwardRule.choose(ticket, this.now, wait, this.peers, this.defaults.peerReportAge().toNanos(),
				this.random);
		if (peer == null) {
			return false;
		}
		peer.sent();
		Attempt attempt = start(ticket, null, peer, false);
		this.counters.forwarded++;
		this.actions.add(new RequestAction.Forward(ticket.id, attempt.number, peer.id, ticket.deadlineTime()));
		return true;
	}

	private Attempt start(Ticket ticket, Endpoint endpoint, PeerView peer, boolean probe) {
		Attempt attempt = new Attempt(ticket, ++ticket.attempts, endpoint, peer, this.now, probe);
		ticket.open.add(attempt);
		return attempt;
	}

	private void end(Attempt attempt) {
		Ticket ticket = attempt.ticket;
		this.timers.cancel(attempt.holdTimer);
		this.timers.cancel(attempt.overdueTimer);
		this.timers.cancel(attempt.hedgeTimer);
		ticket.open.remove(attempt);
		if (attempt.endpoint != null) {
			this.ledger.release(attempt.endpoint);
			ticket.team.slotReleased();
			ticket.group.ended(attempt.overdue);
			this.counters.slotTaken(ticket, -1);
			this.counters.stragglers -= attempt.overdue ? 1 : 0;
		}
		this.finals.forgetIfDone(ticket);
	}

	private void holdEnded(Attempt attempt) {
		if (attempt.awaited) {
			attempt.awaited = false;
			attempt.ticket.mayHaveRun = true;
			if (attempt.endpoint != null) {
				this.control.failed(this.now, attempt);
			}
		}
		end(attempt);
	}

	private void becameOverdue(Attempt attempt) {
		this.control.overdue(this.now, attempt);
		attempt.overdue = true;
		attempt.ticket.group.becameOverdue();
		this.counters.stragglers++;
	}

	private void hedge(Attempt attempt) {
		Ticket ticket = attempt.ticket;
		if (ticket.closed || !attempt.awaited
				|| !HedgeRule.mayHedge(ticket, this.now, overloaded(), this.ledger.free(), this.ledger.usable())
				|| atQuota(ticket.team)) {
			return;
		}
		Endpoint endpoint = this.ledger.choose(this.random, List.of(attempt.endpoint));
		if (endpoint != null) {
			ticket.budget.spend();
			ticket.hedged = true;
			this.counters.hedged++;
			dispatch(ticket, endpoint, false);
		}
	}

	private void enqueue(Ticket ticket) {
		ticket.queued = true;
		ticket.team.add(ticket);
		this.counters.queued(ticket.urgency, 1);
		this.queuedByService.merge(ticket.policy.service(), 1, Integer::sum);
	}

	private void dequeue(Ticket ticket) {
		if (ticket.queued) {
			ticket.queued = false;
			ticket.team.remove(ticket);
			this.counters.queued(ticket.urgency, -1);
			this.queuedByService.merge(ticket.policy.service(), -1, Integer::sum);
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
			Ticket ticket = team.waiting(urgency).first();
			if (!forwards(ticket, this.draining ? DRAIN_WAIT_NANOS : waitNanos(ticket))) {
				return;
			}
			dequeue(ticket);
		}
	}

	private void moveQueued(NotRunReason reason) {
		for (Ticket ticket : queuedTickets()) {
			dequeue(ticket);
			if (!forwards(ticket, Long.MAX_VALUE)) {
				this.finals.refuse(ticket, reason, NO_ENDPOINT_RETRY_MILLIS, this.actions);
			}
		}
	}

	private List<Ticket> queuedTickets() {
		return this.tickets.values().stream().filter((ticket) -> ticket.queued).sorted(Ticket.BY_DEADLINE).toList();
	}

	private boolean overloaded() {
		return this.counters.queued(Urgency.URGENT) > 0 || this.ledger.free() == 0;
	}

	private boolean atQuota(TeamQueue team) {
		return team.atQuota(this.ledger.capacity());
	}

	/**
	 * Estimates the wait of a request that is not queued yet.
	 * @param ticket the request
	 * @return nanoseconds; {@link Long#MAX_VALUE} if no endpoint takes work
	 */
	private long waitNanos(Ticket ticket) {
		if (this.ledger.accepting() == 0) {
			return Long.MAX_VALUE;
		}
		boolean atQuota = atQuota(ticket.team);
		int urgentQueued = this.counters.queued(Urgency.URGENT);
		int limit = ticket.isUrgent() ? Integer.MAX_VALUE : this.reserve.quietLimit(this.ledger.usable());
		int queued = ticket.isUrgent() ? urgentQueued : this.counters.allQueued();
		boolean room = this.ledger.free() > 0 && (ticket.isUrgent() || this.counters.quietInUse < limit);
		if ((room && queued == 0 && !atQuota) || this.ledger.nextProbe() != null) {
			return 0;
		}
		if (this.ledger.usable() == 0 && this.counters.urgentInUse + this.counters.quietInUse == 0
				&& !this.control.anyPaused()) {
			return Long.MAX_VALUE;
		}
		double rate = this.runTimes.quietReleaseRate();
		if (ticket.isUrgent()) {
			rate += this.runTimes.urgentReleaseRate();
		}
		if (atQuota) {
			int inUse = this.counters.urgentInUse + this.counters.quietInUse;
			rate = rate * ticket.team.inUse() / Math.max(1, inUse);
		}
		return WaitEstimator.waitNanos(WaitEstimator.before(ticket, this.teams.values()), rate,
				ticket.group.meanNanos());
	}

	private Duration reportedWait() {
		int queued = this.counters.queued(Urgency.URGENT);
		if (this.ledger.usable() == 0 || this.draining) {
			return UNAVAILABLE_WAIT;
		}
		if (queued == 0 && this.ledger.free() > 0) {
			return Duration.ZERO;
		}
		double rate = this.runTimes.urgentReleaseRate() + this.runTimes.quietReleaseRate();
		return Duration.ofNanos(WaitEstimator.waitNanos(queued, rate, UNAVAILABLE_WAIT.toNanos()));
	}

	private TeamQueue team(ServicePolicy policy) {
		return this.teams.computeIfAbsent(policy.service().team(), (id) -> {
			TeamQueue team = new TeamQueue(id);
			team.limit(policy.weight(), policy.quota());
			return team;
		});
	}

}
