/*
 * Ownership of one shard, its log and the tasks of its workers.
 *
 * Time is left out: an event may happen at any step at which its precondition holds. A
 * paused process, a slow store or a partition between an owner and the store is a run in
 * which the events of that owner come late or not at all. A line that ends with
 * "guard:<name>" is a precondition; the tests remove it and expect a counterexample.
 */
module tasks

open util/ordering[Epoch] as epochs

sig Owner {}

sig Epoch {}

sig Worker {}

sig Task {}

/* One run of a task, from a start or resume to its end or eviction. */
sig Attempt { task: one Task }

one sig Store {
	/* Owners whose lease exists in the store. */
	var leased: set Owner,
	/* The owner that the ownership record names, while the lease in the record exists. */
	var live: lone Owner,
	/* The epoch in the ownership record. */
	var epoch: one Epoch,
	/* The epoch of the last marker in the shard log. */
	var marker: one Epoch,
	/* Attempts in the log that may run, with their workers. */
	var log: Attempt -> Worker,
	/* Attempts that the log ever held. */
	var used: set Attempt
}

one sig Memory {
	/* Owners whose commit deadline has not passed. */
	var valid: set Owner,
	/* The epoch under which an owner works, until it notices that it lost the shard. */
	var acting: Owner -> lone Epoch,
	/* What an owner knows of the log. */
	var view: Owner -> Attempt -> Worker,
	var viewUsed: Owner -> Attempt,
	/* Appends whose reply was lost. */
	var unsettled: Owner -> Attempt
}

one sig Vms {
	/* Start commands under way. */
	var flight: Epoch -> Attempt -> Worker,
	/* The highest epoch that a worker has seen. */
	var seen: Worker -> one Epoch,
	var running: Attempt -> Worker,
	/* Every worker that ever started an attempt. */
	var started: Attempt -> Worker
}

pred sameLease { leased' = leased and valid' = valid }

pred sameRecord { live' = live and epoch' = epoch }

pred sameLog { marker' = marker and log' = log and used' = used }

pred sameMemory {
	acting' = acting and view' = view and viewUsed' = viewUsed and unsettled' = unsettled
}

pred sameVms { flight' = flight and seen' = seen and running' = running and started' = started }

/* All owners hold a lease, and one of them owns the shard with an empty log. */
pred init {
	Store.leased = Owner and Memory.valid = Owner
	one Store.live and Memory.acting = Store.live -> epochs/first
	Store.epoch = epochs/first and Store.marker = epochs/first
	no log and no used and no view and no viewUsed and no unsettled
	no flight and no running and no started
	Vms.seen = Worker -> epochs/first
}

/* The store grants a lease to an owner that has none; the owner drops its old state. */
pred grant[o: Owner] {
	o not in Store.leased
	Store.leased' = Store.leased + o
	Memory.valid' = Memory.valid + o
	Memory.acting' = Memory.acting - o -> Epoch
	Memory.view' = Memory.view - o -> Attempt -> Worker
	Memory.viewUsed' = Memory.viewUsed - o -> Attempt
	Memory.unsettled' = Memory.unsettled - o -> Attempt
	sameRecord and sameLog and sameVms
}

pred renew[o: Owner] {
	o in Store.leased
	leased' = leased
	Memory.valid' = Memory.valid + o
	sameRecord and sameLog and sameMemory and sameVms
}

pred deadlinePasses[o: Owner] {
	o in Memory.valid
	leased' = leased
	Memory.valid' = Memory.valid - o
	sameRecord and sameLog and sameMemory and sameVms
}

/* The commit deadline lies before the end of the lease. */
pred lapse[o: Owner] {
	o in Store.leased
	o not in Memory.valid -- guard:commit-deadline
	Store.leased' = Store.leased - o
	valid' = valid
	Store.live' = Store.live - o
	epoch' = epoch
	sameLog and sameMemory and sameVms
}

/* Compare-and-swap on the ownership record. */
pred takeOver[o: Owner] {
	o in Store.leased and o in Memory.valid
	no Store.live -- guard:takeover
	some epochs/next[Store.epoch]
	Store.live' = o
	Store.epoch' = epochs/next[Store.epoch]
	Memory.acting' = Memory.acting ++ o -> Store.epoch'
	Memory.view' = Memory.view - o -> Attempt -> Worker
	Memory.viewUsed' = Memory.viewUsed - o -> Attempt
	Memory.unsettled' = Memory.unsettled - o -> Attempt
	sameLease and sameLog and sameVms
}

/* The new owner appends its marker and reads the log. */
pred recover[o: Owner] {
	epochs/gt[Memory.acting[o], Store.marker]
	Store.marker' = Memory.acting[o]
	log' = log and used' = used
	acting' = acting and unsettled' = unsettled
	Memory.view' = Memory.view - o -> Attempt -> Worker + o -> Store.log
	Memory.viewUsed' = Memory.viewUsed + o -> Store.used
	sameLease and sameRecord and sameVms
}

/*
 * The owner appends a placement to the log and sends the start once it knows that the
 * append took effect. A pause between the check of the deadline and the send is a command
 * that is under way for longer.
 */
pred place[o: Owner, a: Attempt, w: Worker] {
	epochs/lte[Memory.acting[o], Store.marker]
	Memory.acting[o] = Store.marker -- guard:fencing
	a not in Memory.viewUsed[o]
	no b: Memory.view[o].Worker | b.task = a.task -- guard:one-attempt
	no Memory.view[o].w -- guard:capacity
	no Memory.unsettled[o] -- guard:settled
	Store.log' = Store.log + a -> w
	Store.used' = Store.used + a
	marker' = marker
	learn[o, a, w] or loseReply[o, a]
	sameLease and sameRecord
}

pred learn[o: Owner, a: Attempt, w: Worker] {
	Memory.view' = Memory.view + o -> a -> w
	Memory.viewUsed' = Memory.viewUsed + o -> a
	Memory.unsettled' = Memory.unsettled - o -> a
	acting' = acting
	Vms.flight' = Vms.flight + Memory.acting[o] -> a -> w
	seen' = seen and running' = running and started' = started
}

pred loseReply[o: Owner, a: Attempt] {
	Memory.unsettled' = Memory.unsettled + o -> a
	acting' = acting and view' = view and viewUsed' = viewUsed
	sameVms
}

/* The owner reads back an append whose reply was lost. */
pred readBack[o: Owner, a: Attempt, w: Worker] {
	a in Memory.unsettled[o]
	a -> w in Store.log
	Memory.acting[o] = Store.marker
	learn[o, a, w]
	sameLease and sameRecord and sameLog
}

/* An owner sends a start again, for example after a takeover. */
pred resend[o: Owner, a: Attempt, w: Worker] {
	a -> w in Memory.view[o]
	Vms.flight' = Vms.flight + Memory.acting[o] -> a -> w
	seen' = seen and running' = running and started' = started
	sameLease and sameRecord and sameLog and sameMemory
}

/* A worker gets a start. A start of an attempt that it had is not repeated. */
pred start[e: Epoch, a: Attempt, w: Worker] {
	e -> a -> w in Vms.flight
	epochs/gte[e, Vms.seen[w]] -- guard:worker-epoch
	Vms.flight' = Vms.flight - e -> a -> w
	Vms.seen' = Vms.seen ++ w -> epochs/max[e + Vms.seen[w]]
	Vms.running' = Vms.running + ((a -> w) - Vms.started)
	Vms.started' = Vms.started + a -> w
	sameLease and sameRecord and sameLog and sameMemory
}

/* A worker's lease for an attempt ends, or the task ends by itself. */
pred stop[a: Attempt, w: Worker] {
	a -> w in Vms.running
	Vms.running' = Vms.running - a -> w
	flight' = flight and seen' = seen and started' = started
	sameLease and sameRecord and sameLog and sameMemory
}

/* The worker confirms to the owner that an attempt does not run; it sees the epoch. */
pred confirmStopped[o: Owner, a: Attempt, w: Worker] {
	a -> w in Memory.view[o]
	Memory.acting[o] = Store.marker
	epochs/gte[Memory.acting[o], Vms.seen[w]]
	Memory.acting[o] -> a -> w not in Vms.flight
	a -> w not in Vms.running -- guard:stop-confirmed
	Vms.seen' = Vms.seen ++ w -> Memory.acting[o]
	flight' = flight and running' = running and started' = started
	closeAttempt[o, a, w]
}

/*
 * The worker does not answer. The owner waits for outage grace, task lease and clock
 * margin; by then the task lease ended at the worker, and no command of an earlier owner
 * is still under way.
 */
pred waitOut[o: Owner, a: Attempt, w: Worker] {
	a -> w in Memory.view[o]
	Memory.acting[o] = Store.marker
	a -> w not in Vms.running -- guard:task-lease
	no Vms.flight.w.a -- guard:command-age
	sameVms
	closeAttempt[o, a, w]
}

pred closeAttempt[o: Owner, a: Attempt, w: Worker] {
	Store.log' = Store.log - a -> w
	Memory.view' = Memory.view - o -> a -> w
	marker' = marker and used' = used and acting' = acting
	viewUsed' = viewUsed and unsettled' = unsettled
	sameLease and sameRecord
}

pred stutter { sameLease and sameRecord and sameLog and sameMemory and sameVms }

pred step {
	stutter
	or (some o: Owner | grant[o] or renew[o] or deadlinePasses[o] or lapse[o] or takeOver[o] or recover[o])
	or (some o: Owner, a: Attempt, w: Worker |
		place[o, a, w] or readBack[o, a, w] or resend[o, a, w] or confirmStopped[o, a, w] or waitOut[o, a, w])
	or (some e: Epoch, a: Attempt, w: Worker | start[e, a, w])
	or (some a: Attempt, w: Worker | stop[a, w])
}

fact behaviour { init and always step }

/* No two owners may commit. */
assert oneValidOwner { always lone o: Memory.valid | some Memory.acting[o] }

/* No task runs in two places. */
assert singlePlacement {
	always all t: Task | lone task.t <: Vms.running
}

/* A VM has room for one task here; it never runs two. */
assert capacity { always all w: Worker | lone Vms.running.w }

/* Each attempt, and so each resume after an eviction, runs at most once. */
assert resumeOnce { always all a: Attempt | lone Vms.started[a] }

/* A task is evicted from one worker and resumed on another by the next owner. */
pred resumedByTheNextOwner {
	some disj a, b: Attempt, disj v, w: Worker, disj o, p: Owner {
		a.task = b.task
		eventually (a -> v in Vms.running and o in Memory.valid)
		eventually (b -> w in Vms.running and p in Memory.valid and some Memory.acting[o])
	}
}

/* An append whose reply was lost is read back and its task started. */
pred lostReplySettled {
	some o: Owner, a: Attempt |
		eventually (a in Memory.unsettled[o] and eventually a in Vms.running.Worker)
}

check oneValidOwner for 2 Owner, 3 Epoch, 1 Worker, 1 Task, 1 Attempt, 9..9 steps
check singlePlacement for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 10..10 steps
check capacity for 2 Owner, 2 Epoch, 1 Worker, 2 Task, 2 Attempt, 10..10 steps
check resumeOnce for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 10..10 steps
run resumedByTheNextOwner for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 11..11 steps
run lostReplySettled for 2 Owner, 2 Epoch, 2 Worker, 1 Task, 2 Attempt, 8..8 steps
