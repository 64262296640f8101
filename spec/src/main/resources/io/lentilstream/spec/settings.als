/*
 * Revisions of one settings document, which is changed by compare-and-swap and relayed
 * between entry VMs. A line that ends with "guard:<name>" is a precondition that the tests
 * remove, expecting a counterexample.
 */
module settings

open util/ordering[Revision] as revisions

sig Revision {}

sig Change {}

sig Operator {}

sig Vm {}

one sig State {
	/* The revision in the store and the changes that the document contains. */
	var stored: one Revision,
	var content: set Change,
	/* The revision and content on which an operator's change is based. */
	var read: Operator -> lone Revision,
	var readContent: Operator -> Change,
	var accepted: set Change,
	/* Revisions being sent to an entry VM, and the revision in force there. */
	var inFlight: Vm -> Revision,
	var inForce: Vm -> one Revision
}

pred sameStore { stored' = stored and content' = content and accepted' = accepted }

pred sameReads { read' = read and readContent' = readContent }

pred sameVms { inFlight' = inFlight and inForce' = inForce }

pred init {
	State.stored = revisions/first
	no content and no read and no readContent and no accepted and no inFlight
	State.inForce = Vm -> revisions/first
}

pred readDocument[o: Operator] {
	State.read' = State.read ++ o -> State.stored
	State.readContent' = State.readContent - o -> Change + o -> State.content
	sameStore and sameVms
}

pred change[o: Operator, c: Change] {
	some State.read[o] and some revisions/next[State.read[o]]
	c not in State.accepted + State.readContent[o]
	State.read[o] = State.stored -- guard:compare-and-swap
	State.stored' = revisions/next[State.read[o]]
	State.content' = State.readContent[o] + c
	State.accepted' = State.accepted + c
	State.read' = State.read - o -> Revision
	State.readContent' = State.readContent - o -> Change
	sameVms
}

/* An entry VM receives the document from its watch on the store or from a peer. */
pred relay[v: Vm, r: Revision] {
	r in State.stored + State.inForce[Vm]
	State.inFlight' = State.inFlight + v -> r
	inForce' = inForce
	sameStore and sameReads
}

/* Documents may be delayed, reordered and duplicated. */
pred apply[v: Vm, r: Revision] {
	v -> r in State.inFlight
	revisions/gt[r, State.inForce[v]] -- guard:higher-revision
	State.inForce' = State.inForce ++ v -> r
	inFlight' = inFlight
	sameStore and sameReads
}

pred stutter { sameStore and sameReads and sameVms }

pred step {
	stutter
	or (some o: Operator | readDocument[o])
	or (some o: Operator, c: Change | change[o, c])
	or (some v: Vm, r: Revision | relay[v, r] or apply[v, r])
}

fact behaviour { init and always step }

/* The revision in force at an entry VM never decreases. */
assert revisionsNeverGoBack {
	always all v: Vm | revisions/gte[State.inForce'[v], State.inForce[v]]
}

/* An accepted change remains in the document. */
assert acceptedChangesStay { always State.accepted in State.content }

pred inForceEverywhere { eventually (#State.accepted = 2 and State.inForce[Vm] = revisions/last) }

check revisionsNeverGoBack for 3 Revision, 2 Change, 2 Operator, 2 Vm, 10..10 steps
check acceptedChangesStay for 3 Revision, 2 Change, 2 Operator, 2 Vm, 10..10 steps
run inForceEverywhere for 3 Revision, 2 Change, 2 Operator, 2 Vm, 10..10 steps
