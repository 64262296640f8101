package io.lentilstream.requests;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

import io.lentilstream.model.EndpointId;

/**
 * Applies the list of owned endpoints and the observed results to the endpoints of a
 * pool: health, pauses after refusals, leaving endpoints and counts of earlier owners.
 */
final class EndpointControl {

	/** First pause of an endpoint that refused because it is full. */
	private static final long FIRST_PAUSE_NANOS = 5_000_000L;

	private static final int MAX_PAUSE_DOUBLINGS = 5;

	private final SlotLedger ledger;

	private int paused;

	private final TimerQueue timers;

	private final RequestDefaults defaults;

	EndpointControl(SlotLedger ledger, TimerQueue timers, RequestDefaults defaults) {
		this.ledger = ledger;
		this.timers = timers;
		this.defaults = defaults;
	}

	void update(long now, Collection<OwnedEndpoint> owned) {
		Set<EndpointId> ids = new HashSet<>();
		for (OwnedEndpoint entry : owned) {
			ids.add(entry.id());
			Endpoint endpoint = this.ledger.add(entry.id());
			this.ledger.change(endpoint, () -> apply(now, endpoint, entry));
			armProbe(now, endpoint);
		}
		for (Endpoint endpoint : Set.copyOf(this.ledger.all())) {
			if (endpoint.owned && !ids.contains(endpoint.id)) {
				this.ledger.change(endpoint, () -> disown(endpoint));
			}
		}
	}

	void answered(long now, Attempt attempt, long nanos, boolean serverError) {
		Endpoint endpoint = attempt.endpoint;
		endpoint.pauses = 0;
		if (ignoresHealthOf(attempt)) {
			return;
		}
		boolean mayStop = this.ledger.mayStopAnother();
		this.ledger.change(endpoint, () -> {
			if (serverError) {
				endpoint.health.failed();
			}
			else if (!attempt.overdue) {
				endpoint.health.answered(attempt.ticket.group.logRatio(nanos), mayStop, endpoint.capacity);
			}
		});
		armProbe(now, endpoint);
	}

	/**
	 * Takes in that an attempt runs past its expected time. Its answer does not count
	 * again.
	 * @param now the current instant, in nanoseconds
	 * @param attempt the attempt
	 */
	void overdue(long now, Attempt attempt) {
		if (ignoresHealthOf(attempt)) {
			return;
		}
		Endpoint endpoint = attempt.endpoint;
		boolean mayStop = this.ledger.mayStopAnother();
		double logRatio = attempt.ticket.group.logRatio(now - attempt.startedAt);
		this.ledger.change(endpoint, () -> endpoint.health.answered(logRatio, mayStop, endpoint.capacity));
		armProbe(now, endpoint);
	}

	void failed(long now, Attempt attempt) {
		if (ignoresHealthOf(attempt)) {
			return;
		}
		this.ledger.change(attempt.endpoint, attempt.endpoint.health::failed);
		armProbe(now, attempt.endpoint);
	}

	void refused(long now, Attempt attempt, boolean leaving) {
		Endpoint endpoint = attempt.endpoint;
		this.ledger.change(endpoint, () -> {
			if (attempt.probe) {
				endpoint.health.probeRefused();
			}
			endpoint.refusedAsLeaving |= leaving;
		});
		if (leaving) {
			this.timers.schedule(now + this.defaults.leavingHold().toNanos(), () -> endLeavingHold(endpoint));
		}
		else {
			int doublings = Math.min(MAX_PAUSE_DOUBLINGS, endpoint.pauses++);
			pause(endpoint, true);
			this.timers.schedule(now + (FIRST_PAUSE_NANOS << doublings), () -> pause(endpoint, false));
		}
		armProbe(now, endpoint);
	}

	boolean anyPaused() {
		return this.paused > 0;
	}

	private void pause(Endpoint endpoint, boolean begins) {
		if (endpoint.paused != begins) {
			this.paused += begins ? 1 : -1;
			this.ledger.change(endpoint, () -> endpoint.paused = begins);
		}
	}

	private void apply(long now, Endpoint endpoint, OwnedEndpoint entry) {
		endpoint.capacity = Math.min(entry.slots(), entry.connections());
		endpoint.listedAsLeaving = entry.leaving();
		boolean newlyOwned = !endpoint.owned;
		endpoint.owned = true;
		if (entry.inheritedInFlight().isEmpty()) {
			endpoint.baselineKnown &= !newlyOwned;
			return;
		}
		int given = entry.inheritedInFlight().getAsInt();
		endpoint.baselineKnown = true;
		if (newlyOwned || given != endpoint.givenBaseline) {
			endpoint.givenBaseline = given;
			endpoint.baseline = given;
			this.timers.cancel(endpoint.baselineTimer);
			endpoint.baselineTimer = this.timers.schedule(now + this.defaults.baselineHold().toNanos(),
					() -> this.ledger.change(endpoint, () -> endpoint.baseline = 0));
		}
	}

	private void disown(Endpoint endpoint) {
		endpoint.owned = false;
		endpoint.baselineKnown = false;
		endpoint.baseline = 0;
		this.timers.cancel(endpoint.baselineTimer);
	}

	private void endLeavingHold(Endpoint endpoint) {
		this.ledger.change(endpoint, () -> {
			endpoint.refusedAsLeaving = false;
			endpoint.health.requireProbe();
		});
		this.ledger.markProbeReady(endpoint);
	}

	private void armProbe(long now, Endpoint endpoint) {
		if (endpoint.health.state() != EndpointHealth.State.STOPPED || endpoint.probeTimer != null
				|| this.ledger.isProbeReady(endpoint)) {
			return;
		}
		endpoint.probeTimer = this.timers.schedule(now + endpoint.health.probeDelayNanos(), () -> {
			endpoint.probeTimer = null;
			this.ledger.markProbeReady(endpoint);
		});
	}

	/**
	 * Tells whether an attempt from before a probe must not decide about the probe.
	 * @param attempt the attempt
	 * @return {@code true} if the attempt says nothing about the probe
	 */
	private static boolean ignoresHealthOf(Attempt attempt) {
		return attempt.endpoint.health.state() == EndpointHealth.State.PROBING && !attempt.probe;
	}

}
