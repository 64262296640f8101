package io.lentilstream.requests;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import io.lentilstream.model.EndpointId;

/**
 * Updates the endpoints of a pool from the list of owned endpoints and from the results
 * of attempts: health, pauses after refusals, the leaving state and the attempts in
 * flight that were inherited from earlier owners.
 */
final class EndpointUpdater {

	/**
	 * First pause of an endpoint that refused because it was full; doubled by each
	 * further refusal.
	 */
	private static final long FIRST_PAUSE_NANOS = 5_000_000L;

	private static final int MAX_PAUSE_DOUBLINGS = 5;

	private final SlotTracker slots;

	private int pausedCount;

	private final TimerQueue timers;

	private final RequestDefaults defaults;

	EndpointUpdater(SlotTracker slots, TimerQueue timers, RequestDefaults defaults) {
		this.slots = slots;
		this.timers = timers;
		this.defaults = defaults;
	}

	void update(long now, Collection<OwnedEndpoint> owned) {
		Set<EndpointId> ids = new HashSet<>();
		for (OwnedEndpoint entry : owned) {
			ids.add(entry.id());
			Endpoint endpoint = this.slots.add(entry.id());
			this.slots.update(endpoint, () -> apply(now, endpoint, entry));
			scheduleProbe(now, endpoint);
		}
		for (Endpoint endpoint : Set.copyOf(this.slots.all())) {
			if (endpoint.owned && !ids.contains(endpoint.id)) {
				this.slots.update(endpoint, () -> removeOwnership(endpoint));
			}
		}
	}

	void answered(long now, Attempt attempt, long nanos, boolean serverError) {
		Endpoint endpoint = attempt.endpoint;
		endpoint.pauses = 0;
		if (precedesProbe(attempt)) {
			return;
		}
		boolean mayRestrict = this.slots.mayRestrictAnother();
		this.slots.update(endpoint, () -> {
			if (serverError) {
				endpoint.health.failed();
			}
			else if (!attempt.straggler) {
				endpoint.health.answered(attempt.tracked.group.logRatio(nanos), mayRestrict, endpoint.capacity);
			}
		});
		scheduleProbe(now, endpoint);
	}

	/**
	 * Records in the endpoint's health that an attempt has become a straggler. Its later
	 * answer is not recorded again.
	 * @param now the current instant, in nanoseconds
	 * @param attempt the attempt
	 */
	void becameStraggler(long now, Attempt attempt) {
		if (precedesProbe(attempt)) {
			return;
		}
		Endpoint endpoint = attempt.endpoint;
		boolean mayRestrict = this.slots.mayRestrictAnother();
		double logRatio = attempt.tracked.group.logRatio(now - attempt.startedAt);
		this.slots.update(endpoint, () -> endpoint.health.answered(logRatio, mayRestrict, endpoint.capacity));
		scheduleProbe(now, endpoint);
	}

	void failed(long now, Attempt attempt) {
		if (precedesProbe(attempt)) {
			return;
		}
		this.slots.update(attempt.endpoint, attempt.endpoint.health::failed);
		scheduleProbe(now, attempt.endpoint);
	}

	void refused(long now, Attempt attempt, boolean leaving) {
		Endpoint endpoint = attempt.endpoint;
		this.slots.update(endpoint, () -> {
			if (attempt.probe) {
				endpoint.health.probeRefused();
			}
			endpoint.refusedAsLeaving |= leaving;
		});
		if (leaving) {
			this.timers.schedule(now + this.defaults.leavingExclusion().toNanos(),
					() -> leavingExclusionExpired(endpoint));
		}
		else {
			int doublings = Math.min(MAX_PAUSE_DOUBLINGS, endpoint.pauses++);
			setPaused(endpoint, true);
			this.timers.schedule(now + (FIRST_PAUSE_NANOS << doublings), () -> setPaused(endpoint, false));
		}
		scheduleProbe(now, endpoint);
	}

	boolean anyPaused() {
		return this.pausedCount > 0;
	}

	private void setPaused(Endpoint endpoint, boolean pause) {
		if (endpoint.paused != pause) {
			this.pausedCount += pause ? 1 : -1;
			this.slots.update(endpoint, () -> endpoint.paused = pause);
		}
	}

	private void apply(long now, Endpoint endpoint, OwnedEndpoint entry) {
		endpoint.capacity = Math.min(entry.slots(), entry.connections());
		endpoint.listedAsLeaving = entry.leaving();
		boolean newlyOwned = !endpoint.owned;
		endpoint.owned = true;
		if (entry.inheritedInFlight().isEmpty()) {
			endpoint.inheritedKnown &= !newlyOwned;
			return;
		}
		int reported = entry.inheritedInFlight().getAsInt();
		endpoint.inheritedKnown = true;
		if (newlyOwned || reported != endpoint.reportedInherited) {
			endpoint.reportedInherited = reported;
			endpoint.inherited = reported;
			this.timers.cancel(endpoint.inheritedTimer);
			endpoint.inheritedTimer = this.timers.schedule(now + this.defaults.inheritedSlotTimeout().toNanos(),
					() -> this.slots.update(endpoint, () -> endpoint.inherited = 0));
		}
	}

	private void removeOwnership(Endpoint endpoint) {
		endpoint.owned = false;
		endpoint.inheritedKnown = false;
		endpoint.inherited = 0;
		this.timers.cancel(endpoint.inheritedTimer);
	}

	private void leavingExclusionExpired(Endpoint endpoint) {
		this.slots.update(endpoint, () -> {
			endpoint.refusedAsLeaving = false;
			endpoint.health.requireProbe();
		});
		this.slots.markProbeReady(endpoint);
	}

	private void scheduleProbe(long now, Endpoint endpoint) {
		if (endpoint.health.state() != EndpointHealth.State.STOPPED || endpoint.probeTimer != null
				|| this.slots.isProbeReady(endpoint)) {
			return;
		}
		endpoint.probeTimer = this.timers.schedule(now + endpoint.health.probeDelayNanos(), () -> {
			endpoint.probeTimer = null;
			this.slots.markProbeReady(endpoint);
		});
	}

	/**
	 * Returns whether the endpoint is being probed by another attempt, whose result alone
	 * decides about the endpoint's health.
	 * @param attempt the attempt
	 * @return {@code true} if the attempt must not change the health
	 */
	private static boolean precedesProbe(Attempt attempt) {
		return attempt.endpoint.health.state() == EndpointHealth.State.PROBING && !attempt.probe;
	}

}
