package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.WorkerIncarnation;

/**
 * Detects that an incarnation of a VM has crashed: a later incarnation reports under its
 * id or at its address, and it was not draining. Silence alone is no crash, since the VM
 * may be cut off. Load pattern: VMs that crash and are back after seconds, many of them
 * under a new id.
 */
final class CrashDetector {

	/** How long a VM that was lost is remembered, in milliseconds. */
	private static final long REMEMBERED_MILLIS = 120_000;

	private static final int MAX_LOGGED_RUNS = 4;

	private final SchedulerState state;

	/** The VMs that are no longer known, by the address at which they were lost. */
	private final Map<InetSocketAddress, Worker> lost = new HashMap<>();

	CrashDetector(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Remembers a VM that is about to be forgotten after it was lost.
	 * @param worker the VM
	 * @param now the current time in milliseconds
	 */
	void workerRemoved(Worker worker, long now) {
		this.lost.values().removeIf((known) -> now - known.lastReportAt > REMEMBERED_MILLIS);
		if (!worker.replaced && !worker.lapsedRuns.isEmpty()) {
			this.lost.put(worker.listing.address(), worker);
		}
	}

	/**
	 * Handles the first report of an incarnation, which proves that no other incarnation
	 * runs at its address.
	 * @param successor the VM that reported
	 */
	void firstReportReceived(Worker successor) {
		InetSocketAddress address = successor.listing.address();
		for (Worker worker : List.copyOf(this.state.workers.values())) {
			if (worker != successor && !worker.replaced && worker.missedReports > 0
					&& worker.listing.address().equals(address)) {
				worker.replaced = true;
				crashed(worker, worker.currentIncarnation(), "replaced by " + successor.id());
			}
		}
		Worker forgotten = this.lost.remove(address);
		if (forgotten != null && !forgotten.id().equals(successor.id())) {
			crashed(forgotten, forgotten.currentIncarnation(), "replaced by " + successor.id());
		}
	}

	/**
	 * Handles a later incarnation of a VM under the same id. Must be called before the
	 * state of the earlier one is reset.
	 * @param worker the VM
	 */
	void restarted(Worker worker) {
		crashed(worker, worker.currentIncarnation(), "restarted");
	}

	private void crashed(Worker worker, WorkerIncarnation incarnation, String evidence) {
		List<Run> runs = new ArrayList<>(worker.lapsedRuns);
		runs.addAll(worker.runs.values());
		runs.sort((a, b) -> Long.compare(b.startSentAt, a.startSentAt));
		List<String> youngest = runs.stream()
			.limit(MAX_LOGGED_RUNS)
			.map((run) -> run.task.name + " run " + run.number + " age " + worker.ageAtLastSign(run))
			.toList();
		this.state.log.append("worker-crashed", worker, "born-ms", incarnation.startMillis(), "evidence", evidence,
				"draining", worker.drained, "runs", runs.size(), "silent-ms", this.state.now() - worker.lastReportAt,
				"youngest", youngest);
	}

}
