/*
 * The at-most-once record of one request. Takeover of the request shard is one event
 * here; tasks.als has its details. A crash is a run in which an owner does nothing more.
 * A line that ends with "guard:<name>" is a precondition that the tests remove.
 */
module requests

open util/ordering[Epoch] as epochs

sig Owner {}

sig Epoch {}

sig Attempt {}

one sig Log {
	var marker: one Epoch,
	/* The attempt that may have been sent, while the record is DISPATCHING. */
	var opened: set Attempt,
	var used: set Attempt,
	/* The attempt whose answer is recorded. */
	var answered: set Attempt,
	/* Whether the record is NOT_RUN. */
	var notRun: set Attempt
}

one sig Memory {
	var acting: Owner -> lone Epoch,
	/* The open attempt as an owner knows it. */
	var knows: Owner -> Attempt,
	/* Appends whose reply was lost. */
	var unsettled: Owner -> Attempt
}

one sig Endpoints {
	var flight: set Attempt,
	var ran: set Attempt,
	/* Attempts that an endpoint refused, or refuses from now on. */
	var sealed: set Attempt
}

pred sameLog { marker' = marker and opened' = opened and used' = used and answered' = answered and notRun' = notRun }

pred sameMemory { acting' = acting and knows' = knows and unsettled' = unsettled }

pred sameEndpoints { flight' = flight and ran' = ran and sealed' = sealed }

/* One owner has accepted the request. */
pred init {
	Log.marker = epochs/first
	no opened and no used and no answered and no notRun
	one Memory.acting and Owner.(Memory.acting) = epochs/first
	no knows and no unsettled and no flight and no ran and no sealed
}

pred takeOver[o: Owner] {
	some epochs/next[Log.marker]
	Log.marker' = epochs/next[Log.marker]
	Memory.acting' = Memory.acting ++ o -> Log.marker'
	Memory.knows' = Memory.knows - o -> Attempt + o -> Log.opened
	Memory.unsettled' = Memory.unsettled - o -> Attempt
	opened' = opened and used' = used and answered' = answered and notRun' = notRun
	sameEndpoints
}

pred mayAppend[o: Owner] {
	some Memory.acting[o]
	Memory.acting[o] = Log.marker -- guard:fencing
	no Memory.unsettled[o]
	no Log.answered and no Log.notRun
}

/* The owner records the dispatch. The reply may be lost. */
pred recordDispatch[o: Owner, a: Attempt] {
	mayAppend[o]
	no Memory.knows[o]
	a not in Log.used
	Log.opened' = Log.opened + a
	Log.used' = Log.used + a
	marker' = marker and answered' = answered and notRun' = notRun
	acting' = acting
	{
		Memory.knows' = Memory.knows + o -> a
		unsettled' = unsettled
	}
	or {
		Memory.unsettled' = Memory.unsettled + o -> a
		knows' = knows
	}
	sameEndpoints
}

pred readBack[o: Owner, a: Attempt] {
	a in Memory.unsettled[o] and a in Log.opened
	Memory.acting[o] = Log.marker
	Memory.unsettled' = Memory.unsettled - o -> a
	Memory.knows' = Memory.knows + o -> a
	acting' = acting
	sameLog and sameEndpoints
}

/* The owner sends an attempt, perhaps after a long pause. */
pred send[o: Owner, a: Attempt] {
	some Memory.acting[o]
	a not in Endpoints.ran + Endpoints.flight
	a in Log.used -- guard:recorded-before-sent
	Endpoints.flight' = Endpoints.flight + a
	ran' = ran and sealed' = sealed
	sameLog and sameMemory
}

pred run_[a: Attempt] {
	a in Endpoints.flight
	a not in Endpoints.sealed -- guard:seal-refuses
	Endpoints.flight' = Endpoints.flight - a
	Endpoints.ran' = Endpoints.ran + a
	sealed' = sealed
	sameLog and sameMemory
}

/* An endpoint refuses or seals an attempt that it has not run. */
pred seal[a: Attempt] {
	a not in Endpoints.ran -- guard:seal-only-what-did-not-run
	Endpoints.sealed' = Endpoints.sealed + a
	flight' = flight and ran' = ran
	sameLog and sameMemory
}

/* The record goes back from DISPATCHING to ACCEPTED. */
pred recordReturned[o: Owner, a: Attempt] {
	mayAppend[o]
	a in Memory.knows[o]
	a in Endpoints.sealed -- guard:sealed-before-returned
	Log.opened' = Log.opened - a
	Memory.knows' = Memory.knows - o -> a
	marker' = marker and used' = used and answered' = answered and notRun' = notRun
	acting' = acting and unsettled' = unsettled
	sameEndpoints
}

pred recordAnswer[o: Owner, a: Attempt] {
	mayAppend[o]
	a in Memory.knows[o] and a in Endpoints.ran
	Log.answered' = a
	marker' = marker and opened' = opened and used' = used and notRun' = notRun
	sameMemory and sameEndpoints
}

/* The caller is told "not run". The attempt stands for the published outcome. */
pred recordNotRun[o: Owner, a: Attempt] {
	mayAppend[o]
	no Memory.knows[o] -- guard:not-run-only-when-accepted
	Log.notRun' = a
	marker' = marker and opened' = opened and used' = used and answered' = answered
	sameMemory and sameEndpoints
}

pred stutter { sameLog and sameMemory and sameEndpoints }

pred step {
	stutter
	or (some o: Owner | takeOver[o])
	or (some o: Owner, a: Attempt | recordDispatch[o, a] or readBack[o, a] or send[o, a]
		or recordReturned[o, a] or recordAnswer[o, a] or recordNotRun[o, a])
	or (some a: Attempt | run_[a] or seal[a])
}

fact behaviour { init and always step }

/* A request is dispatched to an endpoint that runs it at most once. */
assert atMostOnce { always lone Endpoints.ran }

/* What was told to be not run never runs. */
assert trueNotRun { always (some Log.notRun implies no Endpoints.ran) }

/* After a takeover the attempt is sealed, and another one runs and is answered. */
pred sealedAndRunByTheNextOwner {
	some disj a, b: Attempt |
		eventually (a in Endpoints.sealed and epochs/first not in Log.marker and eventually b in Log.answered)
}

pred toldNotRun { eventually (some Log.notRun and some Log.used) }

check atMostOnce for 2 Owner, 2 Epoch, 2 Attempt, 9..9 steps
check trueNotRun for 2 Owner, 2 Epoch, 2 Attempt, 9..9 steps
run sealedAndRunByTheNextOwner for 2 Owner, 2 Epoch, 2 Attempt, 10..10 steps
run toldNotRun for 2 Owner, 2 Epoch, 2 Attempt, 10..10 steps
