package io.lentilstream.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.accounting.PhaseTimes;

/**
 * Logs once per second which queues have the room and which wait for it, and the
 * long-running jobs that have lost time since. The times of other active jobs are logged
 * every two seconds, since those of a leader that fails are lost otherwise. The number of
 * lines is bounded by the number of queues and active jobs.
 */
final class RoomLogger {

	/** The age from which the times of an active job are logged, in milliseconds. */
	private static final long MIN_AGE_MILLIS = 1000;

	private final SchedulerState state;

	private final JobTimesLogger timesLogger;

	/** Whether the jobs with an odd hash are due; the others follow a second later. */
	private boolean oddDue;

	RoomLogger(SchedulerState state, JobTimesLogger timesLogger) {
		this.state = state;
		this.timesLogger = timesLogger;
	}

	void log(long now) {
		Map<String, Room> rooms = new LinkedHashMap<>();
		for (Worker worker : this.state.workers.values()) {
			for (Run run : worker.runs.values()) {
				room(rooms, run.task).add(run);
			}
		}
		for (Task task : this.state.waiting) {
			room(rooms, task).addWaiting(task, now);
		}
		for (Job job : this.state.jobs.values()) {
			if (job.active() && job.submission.longRunning()) {
				logService(job, now);
			}
			else if (job.active() && now - job.knownSince >= MIN_AGE_MILLIS
					&& this.oddDue == (job.id().hashCode() % 2 != 0)) {
				job.occurrences.values().forEach((steps) -> this.timesLogger.log(job, steps, JobState.RUNNING, now));
			}
		}
		this.oddDue = !this.oddDue;
		rooms.forEach((queue, room) -> this.state.log.append("room", queue, "runs", room.runs, "running-mcores",
				room.running, "paced-mcores", room.paced, "waits", room.waits, "waiting-mcores", room.waiting, "oldest",
				room.oldest));
	}

	private static Room room(Map<String, Room> rooms, Task task) {
		return rooms.computeIfAbsent(task.job.submission.queue(), (queue) -> new Room());
	}

	private void logService(Job job, long now) {
		PhaseTimes times = new PhaseTimes();
		int tasks = 0;
		for (List<StepState> steps : job.occurrences.values()) {
			for (StepState step : steps) {
				for (Task task : step.tasks()) {
					task.timer.drainTo(times, now);
					tasks++;
				}
			}
		}
		if (times.lost() > 0) {
			this.state.log.append("service-times", job.id(), "queue", job.submission.queue(), "tasks", tasks, "mcores",
					job.submission.steps().get(0).size().milliCores() * tasks, "times", times);
		}
	}

	/**
	 * The use of room by a queue.
	 */
	private static final class Room {

		private int runs;

		private long running;

		private long paced;

		private int waits;

		private long waiting;

		private long oldest;

		void add(Run run) {
			long size = run.task.spec().size().milliCores();
			this.runs++;
			this.running += size;
			this.paced += size * (100 - run.speedPercent) / 100;
		}

		void addWaiting(Task task, long now) {
			this.waits++;
			this.waiting += task.spec().size().milliCores();
			this.oldest = Math.max(this.oldest, now - task.waitingSince);
		}

	}

}
