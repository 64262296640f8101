package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Answers on different connections overtake each other within one millisecond.
 */
class OvertakenReportTests {

	private static final long BORN = 5000;

	private long now = 1_000_000;

	private final ScriptedOrders orders = new ScriptedOrders();

	private final JobScheduler scheduler = new JobScheduler(VirtualWorld.SETTINGS, this.orders,
			(decision, subject, inputs) -> {
			}, () -> this.now, () -> this.now, LeadershipLease.unlimited(0));

	@Test
	void aReportOfTheMillisecondInWhichAStartWasConfirmedDoesNotRuleTheRunOut() {
		startOneTask();
		// The report was made before the start, but its answer comes last.
		this.orders.starts.poll().accept(new CommandResult.Done(this.now - BORN));
		this.now += 3;
		reportNothing();
		runFor(200);
		assertThat(this.orders.started).hasSize(1);
	}

	@Test
	void aReportOfTheMillisecondInWhichAStopWasConfirmedDoesNotRuleTheRunOut() {
		startOneTask();
		this.orders.starts.poll().accept(new CommandResult.Unknown());
		reportNothing();
		assertThat(this.orders.stops).hasSize(1);
		this.scheduler.tick();
		this.orders.stops.poll().accept(new CommandResult.Done(this.now - BORN));
		this.now += 3;
		reportNothing();
		runFor(200);
		assertThat(this.orders.started).hasSize(1);
	}

	@Test
	void aLaterReportRulesTheRunOut() {
		startOneTask();
		this.orders.starts.poll().accept(new CommandResult.Done(this.now - BORN));
		reportNothing();
		this.now++;
		this.scheduler.tick();
		reportNothing();
		runFor(200);
		assertThat(this.orders.started).hasSize(2);
	}

	private void startOneTask() {
		this.scheduler.start(List.of());
		this.scheduler.workerListed(new WorkerListing(new WorkerId("w1"), BORN, VirtualWorker.SERVICE,
				new InetSocketAddress(1), "a", false, "r1-1", new Resources(8000, 16_000, 0), Set.of()));
		this.scheduler.tick();
		reportNothing();
		this.scheduler
			.submit(new JobSubmission(new JobId("job-1"), "q0", new QueuePolicy(VirtualWorker.SERVICE, 0, 3, 2, 500),
					"payload", List.of(VirtualWorld.step(1, 1000, 3000)), JobSubmission.Schedule.ONCE, this.now));
		// Asks for a report and starts the task in the same millisecond.
		this.scheduler.tick();
		assertThat(this.orders.started).hasSize(1);
		assertThat(this.orders.holds).hasSize(1);
	}

	private void reportNothing() {
		this.orders.holds.poll()
			.accept(new WorkerCommands.ReportResult.Reported(
					new TaskReport(BORN, this.now - BORN, List.of(), List.of())));
	}

	private void runFor(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += 20) {
			this.scheduler.tick();
		}
	}

	/**
	 * Keeps orders until the test answers them.
	 */
	private static final class ScriptedOrders implements WorkerCommands {

		private final List<TaskName> started = new ArrayList<>();

		private final Deque<Consumer<CommandResult>> starts = new ArrayDeque<>();

		private final Deque<Consumer<CommandResult>> stops = new ArrayDeque<>();

		private final Deque<Consumer<ReportResult>> holds = new ArrayDeque<>();

		@Override
		public void start(WorkerListing worker, StartCommand order, Consumer<CommandResult> answer) {
			this.started.add(order.task());
			this.starts.add(answer);
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> answer) {
			this.stops.add(answer);
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> answer) {
			answer.accept(new CommandResult.Done(0));
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest order, Consumer<ReportResult> answer) {
			this.holds.add(answer);
		}

	}

}
