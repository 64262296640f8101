package io.lentilstream.jobs.scheduling;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.jobs.TaskReport;

/**
 * Brings what is known of a VM in line with its report.
 */
final class ReportHandler {

	private final SchedulerState state;

	private final RunStarter starts;

	private final RunEndHandler ends;

	private final RunStopper stops;

	private final BestEffortThrottle pacing;

	ReportHandler(SchedulerState state, RunStarter starts, RunEndHandler ends, RunStopper stops,
			BestEffortThrottle pacing) {
		this.state = state;
		this.starts = starts;
		this.ends = ends;
		this.stops = stops;
		this.pacing = pacing;
	}

	/**
	 * Takes in a report.
	 * @param worker the VM
	 * @param report the report
	 * @param sent when the report was asked for, in milliseconds
	 * @param now the current time in milliseconds
	 */
	void take(Worker worker, TaskReport report, long sent, long now) {
		if (report.incarnationStartMillis() != worker.incarnationStartMillis()) {
			reborn(worker, report.incarnationStartMillis(), now);
		}
		worker.lease.clockRead(report.clockMillis(), sent, now);
		if (!worker.opened) {
			worker.opened = true;
			this.state.log.append("worker-opened", worker, "running", report.running().size(), "ended",
					report.ended().size());
		}
		for (TaskReport.Ended end : report.ended()) {
			if (end.number() > worker.lastEnd) {
				ended(worker, end, now);
			}
		}
		Set<Run.RunKey> seen = new HashSet<>();
		for (TaskReport.Running row : report.running()) {
			seen.add(new Run.RunKey(row.task(), row.run()));
			running(worker, row, now);
		}
		for (Run run : List.copyOf(worker.runs.values())) {
			if (!seen.contains(run.key())) {
				absent(run, sent, now);
			}
		}
		this.pacing.apply(worker, now);
	}

	/**
	 * Notes that a new incarnation answers under the id of a VM. All that ran there is
	 * gone, but a start that was not answered may still reach the new incarnation.
	 * @param worker the VM
	 * @param born the start of the new incarnation, in milliseconds since 1970
	 * @param now the current time in milliseconds
	 */
	void reborn(Worker worker, long born, long now) {
		this.state.log.append("worker-restarted", worker, "born-ms", born, "was-ms", worker.incarnationStartMillis(),
				"runs", worker.runs.size());
		worker.restart(born, now);
		for (Run run : List.copyOf(worker.runs.values())) {
			if (run.phase == Run.Phase.RUNNING) {
				this.ends.lost(run, "VM restarted", now);
			}
			else {
				run.enter(Run.Phase.UNSURE, now);
				run.stopConfirmedAt = -1;
			}
		}
	}

	private void ended(Worker worker, TaskReport.Ended end, long now) {
		worker.lastEnd = end.number();
		Task task = this.state.find(end.task());
		if (task == null) {
			worker.unstored.add(new Worker.UnstoredEnd(end.number(), null, 0));
			return;
		}
		Run run = worker.runs.get(new Run.RunKey(end.task(), end.run()));
		task.lastRun = Math.max(task.lastRun, end.run());
		this.ends.ended(task, end.run(), run, worker, end.outcome(), end.checkpoint(), now);
		worker.unstored.add(new Worker.UnstoredEnd(end.number(), task.job, task.job.version));
	}

	private void running(Worker worker, TaskReport.Running row, long now) {
		Run run = worker.runs.get(new Run.RunKey(row.task(), row.run()));
		if (run == null) {
			run = unexpected(worker, row, now);
		}
		if (run == null) {
			return;
		}
		if (run.phase != Run.Phase.RUNNING) {
			this.starts.confirmed(run, now);
		}
		if (row.percent() != run.percent) {
			run.progressedAt = now;
		}
		run.percent = row.percent();
		run.checkpoint = row.checkpoint();
		run.figure = row.measurement();
	}

	private Run unexpected(Worker worker, TaskReport.Running row, long now) {
		Task task = this.state.find(row.task());
		if (task == null) {
			this.state.log.append("run-unknown", row.task(), "worker", worker, "run", row.run());
			this.state.orders.stop(worker.listing, row.task(), row.run(), (answer) -> {
			});
			return null;
		}
		Run run = new Run(task, row.run(), worker, now);
		boolean wanted = task.job.active() && !task.done && task.step.open
				&& (task.runs.isEmpty() || task.spec().traits().speculative());
		task.lastRun = Math.max(task.lastRun, row.run());
		task.runs.add(run);
		task.unsettled = false;
		worker.add(run);
		this.state.waiting.remove(task);
		this.state.log.append("run-adopted", task.name, "worker", worker, "run", row.run(), "wanted", wanted);
		if (!wanted) {
			this.stops.want(run, "not wanted", now);
		}
		return run;
	}

	// Answers on different connections may overtake each other. A report that was
	// asked for in the millisecond of
	// an answer may have been made before it.
	private void absent(Run run, long sent, long now) {
		switch (run.phase) {
			case RUNNING -> {
				if (sent > run.phaseSince) {
					this.ends.lost(run, "not in the report", now);
				}
			}
			case UNSURE -> {
				if (run.stopConfirmedAt >= 0 && sent > run.stopConfirmedAt) {
					this.ends.lost(run, "never started", now);
				}
				else {
					this.stops.want(run, "start not answered and not reported", now);
				}
			}
			case STARTING -> {
				// The order may not have arrived when the report was made.
			}
		}
	}

}
