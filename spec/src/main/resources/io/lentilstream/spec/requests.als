/*
 * At-most-once execution of one request, based on its record in the log of a request
 * shard. A takeover of the shard is a single event here; tasks.als models its details. A
 * crash is a run in which an owner takes no further steps. A line that ends with
 * "guard:<name>" is a precondition that the tests remove, expecting a counterexample.
 */
module requests

open util/ordering[Epoch] as epochs

sig Owner {}

sig Epoch {}

sig Attempt {}

one sig Log {
	var marker: one Epoch,
	/* The attempt that may have been sent while the record is DISPATCHING. */
	var dispatched: set Attempt,
	var used: set Attempt,
	/* The attempt whose answer is recorded. */
	var answered: set Attempt,
	/* Whether the record is NOT_RUN. */
	var notRun: set Attempt
}

one sig Memory {
	var ownerEpoch: Owner -> lone Epoch,
	/* The dispatched attempt as known to an owner. */
	var known: Owner -> Attempt,
	/* Appends whose acknowledgement was lost. */
	var unconfirmed: Owner -> Attempt
}

one sig Endpoints {
	var inFlight: set Attempt,
	var ran: set Attempt,
	/* Attempts that an endpoint has refused or will refuse from now on. */
	var sealed: set Attempt
}

pred sameLog {
	marker' = marker and dispatched' = dispatched and used' = used and answered' = answered and notRun' = notRun
}

pred sameMemory { ownerEpoch' = ownerEpoch and known' = known and unconfirmed' = unconfirmed }

pred sameEndpoints { inFlight' = inFlight and ran' = ran and sealed' = sealed }

/* Initially one owner has accepted the request. */
pred init {
	Log.marker = epochs/first
	no dispatched and no used and no answered and no notRun
	one Memory.ownerEpoch and Owner.(Memory.ownerEpoch) = epochs/first
	no known and no unconfirmed and no inFlight and no ran and no sealed
}

pred takeOver[o: Owner] {
	some epochs/next[Log.marker]
	Log.marker' = epochs/next[Log.marker]
	Memory.ownerEpoch' = Memory.ownerEpoch ++ o -> Log.marker'
	Memory.known' = Memory.known - o -> Attempt + o -> Log.dispatched
	Memory.unconfirmed' = Memory.unconfirmed - o -> Attempt
	dispatched' = dispatched and used' = used and answered' = answered and notRun' = notRun
	sameEndpoints
}

pred mayAppend[o: Owner] {
	some Memory.ownerEpoch[o]
	Memory.ownerEpoch[o] = Log.marker -- guard:fencing
	no Memory.unconfirmed[o]
	no Log.answered and no Log.notRun
}

/* The owner records the dispatch in the log. The acknowledgement may be lost. */
pred recordDispatch[o: Owner, a: Attempt] {
	mayAppend[o]
	no Memory.known[o]
	a not in Log.used
	Log.dispatched' = Log.dispatched + a
	Log.used' = Log.used + a
	marker' = marker and answered' = answered and notRun' = notRun
	ownerEpoch' = ownerEpoch
	{
		Memory.known' = Memory.known + o -> a
		unconfirmed' = unconfirmed
	}
	or {
		Memory.unconfirmed' = Memory.unconfirmed + o -> a
		known' = known
	}
	sameEndpoints
}

pred readBackDispatch[o: Owner, a: Attempt] {
	a in Memory.unconfirmed[o] and a in Log.dispatched
	Memory.ownerEpoch[o] = Log.marker
	Memory.unconfirmed' = Memory.unconfirmed - o -> a
	Memory.known' = Memory.known + o -> a
	ownerEpoch' = ownerEpoch
	sameLog and sameEndpoints
}

/* The owner sends an attempt, possibly after a long pause. */
pred send[o: Owner, a: Attempt] {
	some Memory.ownerEpoch[o]
	a not in Endpoints.ran + Endpoints.inFlight
	a in Log.used -- guard:recorded-before-sent
	Endpoints.inFlight' = Endpoints.inFlight + a
	ran' = ran and sealed' = sealed
	sameLog and sameMemory
}

pred run_[a: Attempt] {
	a in Endpoints.inFlight
	a not in Endpoints.sealed -- guard:seal-refuses
	Endpoints.inFlight' = Endpoints.inFlight - a
	Endpoints.ran' = Endpoints.ran + a
	sealed' = sealed
	sameLog and sameMemory
}

/* An endpoint refuses an attempt that it has not run, or seals it against running later. */
pred seal[a: Attempt] {
	a not in Endpoints.ran -- guard:seal-only-what-did-not-run
	Endpoints.sealed' = Endpoints.sealed + a
	inFlight' = inFlight and ran' = ran
	sameLog and sameMemory
}

/* The record returns from DISPATCHING to ACCEPTED. */
pred recordReturned[o: Owner, a: Attempt] {
	mayAppend[o]
	a in Memory.known[o]
	a in Endpoints.sealed -- guard:sealed-before-returned
	Log.dispatched' = Log.dispatched - a
	Memory.known' = Memory.known - o -> a
	marker' = marker and used' = used and answered' = answered and notRun' = notRun
	ownerEpoch' = ownerEpoch and unconfirmed' = unconfirmed
	sameEndpoints
}

pred recordAnswer[o: Owner, a: Attempt] {
	mayAppend[o]
	a in Memory.known[o] and a in Endpoints.ran
	Log.answered' = a
	marker' = marker and dispatched' = dispatched and used' = used and notRun' = notRun
	sameMemory and sameEndpoints
}

/* The outcome "not run" is published to the caller; the attempt represents it. */
pred recordNotRun[o: Owner, a: Attempt] {
	mayAppend[o]
	no Memory.known[o] -- guard:not-run-only-when-accepted
	Log.notRun' = a
	marker' = marker and dispatched' = dispatched and used' = used and answered' = answered
	sameMemory and sameEndpoints
}

pred stutter { sameLog and sameMemory and sameEndpoints }

pred step {
	stutter
	or (some o: Owner | takeOver[o])
	or (some o: Owner, a: Attempt | recordDispatch[o, a] or readBackDispatch[o, a] or send[o, a]
		or recordReturned[o, a] or recordAnswer[o, a] or recordNotRun[o, a])
	or (some a: Attempt | run_[a] or seal[a])
}

fact behaviour { init and always step }

/* At most one attempt of the request runs. */
assert atMostOnce { always lone Endpoints.ran }

/* A request that was reported as not run never runs. */
assert trueNotRun { always (some Log.notRun implies no Endpoints.ran) }

/* After a takeover the attempt is sealed, and another attempt runs and is answered. */
pred sealedAndRunByTheNextOwner {
	some disj a, b: Attempt |
		eventually (a in Endpoints.sealed and epochs/first not in Log.marker and eventually b in Log.answered)
}

pred toldNotRun { eventually (some Log.notRun and some Log.used) }

check atMostOnce for 2 Owner, 2 Epoch, 2 Attempt, 9..9 steps
check trueNotRun for 2 Owner, 2 Epoch, 2 Attempt, 9..9 steps
run sealedAndRunByTheNextOwner for 2 Owner, 2 Epoch, 2 Attempt, 10..10 steps
run toldNotRun for 2 Owner, 2 Epoch, 2 Attempt, 10..10 steps
