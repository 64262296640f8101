/*
 * Ownership of one shard, its log and the tasks of its workers.
 *
 * Time is not modelled: an event may happen at any step at which its precondition holds.
 * A paused process, a slow store or a network partition between an owner and the store is
 * a run in which the events of that owner are delayed or never happen. A line that ends
 * with "guard:<name>" is a precondition; the tests remove it and expect a counterexample.
 */
module tasks

open util/ordering[Epoch] as epochs

sig Owner {}

sig Epoch {}

sig Worker {}

sig Task {}

/* One execution of a task, from its start or resume to its end or eviction. */
sig Attempt { task: one Task }

one sig Store {
	/* Owners with an unexpired lease in the store. */
	var leased: set Owner,
	/* The owner named by the ownership record, while its lease is unexpired. */
	var liveOwner: lone Owner,
	/* The epoch in the ownership record. */
	var epoch: one Epoch,
	/* The epoch of the latest marker in the shard log. */
	var marker: one Epoch,
	/* Placements in the log: attempts that may run, with their workers. */
	var log: Attempt -> Worker,
	/* All attempts that were ever in the log. */
	var used: set Attempt
}

one sig Memory {
	/* Owners whose commit deadline has not passed. */
	var mayCommit: set Owner,
	/* The epoch that an owner uses until it notices that it has lost the shard. */
	var ownerEpoch: Owner -> lone Epoch,
	/* The placements and attempts in the log that an owner knows of. */
	var view: Owner -> Attempt -> Worker,
	var viewUsed: Owner -> Attempt,
	/* Appends whose acknowledgement was lost. */
	var unconfirmed: Owner -> Attempt
}

one sig Vms {
	/* Start commands in inFlight. */
	var inFlight: Epoch -> Attempt -> Worker,
	/* The highest epoch that a worker has seen. */
	var seen: Worker -> one Epoch,
	var running: Attempt -> Worker,
	/* All workers that ever started an attempt. */
	var started: Attempt -> Worker
}

pred sameLease { leased' = leased and mayCommit' = mayCommit }

pred sameRecord { liveOwner' = liveOwner and epoch' = epoch }

pred sameLog { marker' = marker and log' = log and used' = used }

pred sameMemory {
	ownerEpoch' = ownerEpoch and view' = view and viewUsed' = viewUsed and unconfirmed' = unconfirmed
}

pred sameVms { inFlight' = inFlight and seen' = seen and running' = running and started' = started }

/* Initially all owners have a lease, and one of them owns the shard with an empty log. */
pred init {
	Store.leased = Owner and Memory.mayCommit = Owner
	one Store.liveOwner and Memory.ownerEpoch = Store.liveOwner -> epochs/first
	Store.epoch = epochs/first and Store.marker = epochs/first
	no log and no used and no view and no viewUsed and no unconfirmed
	no inFlight and no running and no started
	Vms.seen = Worker -> epochs/first
}

/* The store grants a lease to an owner without one. The owner discards its old state. */
pred grant[o: Owner] {
	o not in Store.leased
	Store.leased' = Store.leased + o
	Memory.mayCommit' = Memory.mayCommit + o
	Memory.ownerEpoch' = Memory.ownerEpoch - o -> Epoch
	Memory.view' = Memory.view - o -> Attempt -> Worker
	Memory.viewUsed' = Memory.viewUsed - o -> Attempt
	Memory.unconfirmed' = Memory.unconfirmed - o -> Attempt
	sameRecord and sameLog and sameVms
}

pred renew[o: Owner] {
	o in Store.leased
	leased' = leased
	Memory.mayCommit' = Memory.mayCommit + o
	sameRecord and sameLog and sameMemory and sameVms
}

pred deadlinePasses[o: Owner] {
	o in Memory.mayCommit
	leased' = leased
	Memory.mayCommit' = Memory.mayCommit - o
	sameRecord and sameLog and sameMemory and sameVms
}

/* A lease expires. The commit deadline of the owner passes before that. */
pred expireLease[o: Owner] {
	o in Store.leased
	o not in Memory.mayCommit -- guard:commit-deadline
	Store.leased' = Store.leased - o
	mayCommit' = mayCommit
	Store.liveOwner' = Store.liveOwner - o
	epoch' = epoch
	sameLog and sameMemory and sameVms
}

/* An owner takes over the shard by compare-and-swap on the ownership record. */
pred takeOver[o: Owner] {
	o in Store.leased and o in Memory.mayCommit
	no Store.liveOwner -- guard:takeover
	some epochs/next[Store.epoch]
	Store.liveOwner' = o
	Store.epoch' = epochs/next[Store.epoch]
	Memory.ownerEpoch' = Memory.ownerEpoch ++ o -> Store.epoch'
	Memory.view' = Memory.view - o -> Attempt -> Worker
	Memory.viewUsed' = Memory.viewUsed - o -> Attempt
	Memory.unconfirmed' = Memory.unconfirmed - o -> Attempt
	sameLease and sameLog and sameVms
}

/* The new owner appends its marker and reads the log. */
pred recover[o: Owner] {
	epochs/gt[Memory.ownerEpoch[o], Store.marker]
	Store.marker' = Memory.ownerEpoch[o]
	log' = log and used' = used
	ownerEpoch' = ownerEpoch and unconfirmed' = unconfirmed
	Memory.view' = Memory.view - o -> Attempt -> Worker + o -> Store.log
	Memory.viewUsed' = Memory.viewUsed + o -> Store.used
	sameLease and sameRecord and sameVms
}

/*
 * The owner appends a placement to the log and sends the start command once the append is
 * confirmed. A pause between the check of the deadline and the send is modelled as a
 * command that is in inFlight for longer.
 */
pred place[o: Owner, a: Attempt, w: Worker] {
	epochs/lte[Memory.ownerEpoch[o], Store.marker]
	Memory.ownerEpoch[o] = Store.marker -- guard:fencing
	a not in Memory.viewUsed[o]
	no b: Memory.view[o].Worker | b.task = a.task -- guard:one-attempt
	no Memory.view[o].w -- guard:capacity
	no Memory.unconfirmed[o] -- guard:settled
	Store.log' = Store.log + a -> w
	Store.used' = Store.used + a
	marker' = marker
	confirmAppend[o, a, w] or loseAcknowledgement[o, a]
	sameLease and sameRecord
}

pred confirmAppend[o: Owner, a: Attempt, w: Worker] {
	Memory.view' = Memory.view + o -> a -> w
	Memory.viewUsed' = Memory.viewUsed + o -> a
	Memory.unconfirmed' = Memory.unconfirmed - o -> a
	ownerEpoch' = ownerEpoch
	Vms.inFlight' = Vms.inFlight + Memory.ownerEpoch[o] -> a -> w
	seen' = seen and running' = running and started' = started
}

pred loseAcknowledgement[o: Owner, a: Attempt] {
	Memory.unconfirmed' = Memory.unconfirmed + o -> a
	ownerEpoch' = ownerEpoch and view' = view and viewUsed' = viewUsed
	sameVms
}

/* The owner reads the log to confirm an append whose acknowledgement was lost. */
pred readBackAppend[o: Owner, a: Attempt, w: Worker] {
	a in Memory.unconfirmed[o]
	a -> w in Store.log
	Memory.ownerEpoch[o] = Store.marker
	confirmAppend[o, a, w]
	sameLease and sameRecord and sameLog
}

/* An owner sends a start command again, for example after a takeover. */
pred resend[o: Owner, a: Attempt, w: Worker] {
	a -> w in Memory.view[o]
	Vms.inFlight' = Vms.inFlight + Memory.ownerEpoch[o] -> a -> w
	seen' = seen and running' = running and started' = started
	sameLease and sameRecord and sameLog and sameMemory
}

/* A worker receives a start command. Starts are idempotent for each attempt. */
pred start[e: Epoch, a: Attempt, w: Worker] {
	e -> a -> w in Vms.inFlight
	epochs/gte[e, Vms.seen[w]] -- guard:worker-epoch
	Vms.inFlight' = Vms.inFlight - e -> a -> w
	Vms.seen' = Vms.seen ++ w -> epochs/max[e + Vms.seen[w]]
	Vms.running' = Vms.running + ((a -> w) - Vms.started)
	Vms.started' = Vms.started + a -> w
	sameLease and sameRecord and sameLog and sameMemory
}

/* The task lease of an attempt expires, or the task ends by itself. */
pred stop[a: Attempt, w: Worker] {
	a -> w in Vms.running
	Vms.running' = Vms.running - a -> w
	inFlight' = inFlight and seen' = seen and started' = started
	sameLease and sameRecord and sameLog and sameMemory
}

/* A worker confirms that an attempt is not running, and records the epoch of the owner. */
pred confirmStopped[o: Owner, a: Attempt, w: Worker] {
	a -> w in Memory.view[o]
	Memory.ownerEpoch[o] = Store.marker
	epochs/gte[Memory.ownerEpoch[o], Vms.seen[w]]
	Memory.ownerEpoch[o] -> a -> w not in Vms.inFlight
	a -> w not in Vms.running -- guard:stop-confirmed
	Vms.seen' = Vms.seen ++ w -> Memory.ownerEpoch[o]
	inFlight' = inFlight and running' = running and started' = started
	removePlacement[o, a, w]
}

/*
 * The worker does not reply. The owner waits for the outage grace, the task lease and the
 * clock margin. After that, the task lease has expired at the worker, and no command of a
 * previous owner is in inFlight.
 */
pred awaitLeaseExpiry[o: Owner, a: Attempt, w: Worker] {
	a -> w in Memory.view[o]
	Memory.ownerEpoch[o] = Store.marker
	a -> w not in Vms.running -- guard:task-lease
	no Vms.inFlight.w.a -- guard:command-age
	sameVms
	removePlacement[o, a, w]
}

pred removePlacement[o: Owner, a: Attempt, w: Worker] {
	Store.log' = Store.log - a -> w
	Memory.view' = Memory.view - o -> a -> w
	marker' = marker and used' = used and ownerEpoch' = ownerEpoch
	viewUsed' = viewUsed and unconfirmed' = unconfirmed
	sameLease and sameRecord
}

pred stutter { sameLease and sameRecord and sameLog and sameMemory and sameVms }

pred step {
	stutter
	or (some o: Owner | grant[o] or renew[o] or deadlinePasses[o] or expireLease[o] or takeOver[o] or recover[o])
	or (some o: Owner, a: Attempt, w: Worker |
		place[o, a, w] or readBackAppend[o, a, w] or resend[o, a, w] or confirmStopped[o, a, w] or awaitLeaseExpiry[o, a, w])
	or (some e: Epoch, a: Attempt, w: Worker | start[e, a, w])
	or (some a: Attempt, w: Worker | stop[a, w])
}

fact behaviour { init and always step }

/* At most one owner may commit. */
assert oneValidOwner { always lone o: Memory.mayCommit | some Memory.ownerEpoch[o] }

/* No task runs on two workers at once. */
assert singlePlacement {
	always all t: Task | lone task.t <: Vms.running
}

/* The capacity of a VM is one task here; it never runs two. */
assert capacity { always all w: Worker | lone Vms.running.w }

/* Each attempt, and thus each resume after an eviction, runs at most once. */
assert resumeOnce { always all a: Attempt | lone Vms.started[a] }

/* A task runs on one worker, and the next owner resumes it on another. */
pred resumedByTheNextOwner {
	some disj a, b: Attempt, disj v, w: Worker, disj o, p: Owner {
		a.task = b.task
		eventually (a -> v in Vms.running and o in Memory.mayCommit)
		eventually (b -> w in Vms.running and p in Memory.mayCommit and some Memory.ownerEpoch[o])
	}
}

/* An append whose acknowledgement was lost is confirmed, and its task runs. */
pred lostReplySettled {
	some o: Owner, a: Attempt |
		eventually (a in Memory.unconfirmed[o] and eventually a in Vms.running.Worker)
}

check oneValidOwner for 2 Owner, 3 Epoch, 1 Worker, 1 Task, 1 Attempt, 9..9 steps
check singlePlacement for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 10..10 steps
check capacity for 2 Owner, 2 Epoch, 1 Worker, 2 Task, 2 Attempt, 10..10 steps
check resumeOnce for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 10..10 steps
run resumedByTheNextOwner for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 11..11 steps
run lostReplySettled for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 8..8 steps
