package io.lentilstream.jobs.scheduling;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for a VM that restarts under its id and carries out commands that were sent to
 * its former incarnation.
 */
class RestartedWorkerTests {

	private static final long FORMER = 5000;

	private static final long LATER = 900_000;

	private static final TaskName TASK = new TaskName(new JobId("job-1"), 0, 0, 0);

	private long now = 1_000_000;

	private boolean fenceAvailable;

	private long leaderUntil = Long.MAX_VALUE / 2;

	private final ScriptedCommands commands = new ScriptedCommands();

	private final JobScheduler scheduler = new JobScheduler(VirtualWorld.SETTINGS, this.commands,
			(decision, subject, inputs) -> {
			}, () -> this.now, () -> this.now,
			new LeadershipLease(0, () -> this.leaderUntil, (worker) -> this.fenceAvailable));

	@BeforeEach
	void startTask() {
		this.scheduler.start(List.of());
		list(FORMER);
		this.scheduler.tick();
		answerReport(FORMER, List.of(), List.of());
		this.scheduler
			.submit(new JobSubmission(new JobId("job-1"), "q0", new QueuePolicy(VirtualWorker.SERVICE, 0, 3, 2, 500),
					"payload", List.of(VirtualWorld.step(1, 1000, 3000)), JobSubmission.Schedule.ONCE, this.now));
		runFor(60);
		assertThat(this.commands.startedTasks).containsExactly(TASK);
	}

	@Test
	void endsAreNotAcknowledgedToAVmThatMayBeBackAsAnotherIncarnation() {
		endTask();
		reports("w1").poll().callback.accept(new WorkerCommands.ReportResult.Missing(new CommandResult.Unknown()));
		runFor(400);
		assertThat(reports("w1").poll().request.acknowledged()).isZero();
	}

	@Test
	void endsAreAcknowledgedAgainOnceTheIncarnationAnswers() {
		endTask();
		reports("w1").poll().callback.accept(new WorkerCommands.ReportResult.Missing(new CommandResult.Unknown()));
		runFor(400);
		answerReport(FORMER, List.of(), List.of(done()));
		runFor(400);
		assertThat(reports("w1").poll().request.acknowledged()).isEqualTo(1);
	}

	@Test
	void acknowledgementIsNotRepeatedOnceTheVmHasReceivedIt() {
		endTask();
		answerReport(FORMER, List.of(), List.of());
		runFor(400);
		assertThat(reports("w1").poll().request.acknowledged()).isZero();
	}

	@Test
	void confirmedRunIsKeptIfOnlyTheListShowsThatItsVmRestarted() {
		addIdleWorker();
		this.commands.startCallbacks.poll().accept(new CommandResult.Done(this.now - LATER));
		list(LATER);
		runFor(500);
		assertThat(this.commands.startedTasks).hasSize(1);
		reports("w1").poll();
		answerReport(LATER, List.of(running()), List.of());
		runFor(500);
		assertThat(this.commands.startedTasks).hasSize(1);
		assertThat(this.commands.stopCallbacks).isEmpty();
	}

	@Test
	void runThatTheFormerIncarnationReportedStartsAgain() {
		this.commands.startCallbacks.poll().accept(new CommandResult.Done(this.now - FORMER));
		answerReport(FORMER, List.of(running()), List.of());
		runFor(20);
		answerReport(LATER, List.of(), List.of());
		list(LATER);
		runFor(1600);
		assertThat(this.commands.startedTasks).hasSize(2);
	}

	@Test
	void confirmedRunThatTheNewIncarnationDoesNotReportIsStoppedAndStartsAgain() {
		this.commands.startCallbacks.poll().accept(new CommandResult.Done(this.now - LATER));
		list(LATER);
		runFor(20);
		reports("w1").poll();
		answerReport(LATER, List.of(), List.of());
		runFor(20);
		this.commands.stopCallbacks.poll().accept(new CommandResult.Done(this.now - LATER));
		runFor(20);
		answerReport(LATER, List.of(), List.of());
		runFor(20);
		answerReport(LATER, List.of(), List.of());
		runFor(1600);
		assertThat(this.commands.startedTasks).hasSize(2);
	}

	@Test
	void unansweredStartIsRuledOutByTheFirstReportThatWasRequestedBehindTheFence() {
		this.fenceAvailable = true;
		this.commands.startCallbacks.poll().accept(new CommandResult.Unknown());
		list(LATER);
		runFor(20);
		reports("w1").poll();
		answerReport(LATER, List.of(), List.of());
		runFor(1600);
		assertThat(this.commands.startedTasks).hasSize(2);
		assertThat(this.commands.stopCallbacks).isEmpty();
	}

	@Test
	void refusalOfACommandFromBeforeTheFenceIsNoSignOfANewerLeader() {
		this.fenceAvailable = true;
		list(LATER);
		runFor(20);
		this.commands.startCallbacks.poll().accept(new CommandResult.Refused(CommandResult.Refusal.FENCED));
		assertThat(this.scheduler.fenced()).isFalse();
	}

	@Test
	void refusalOfACommandFromBehindTheFenceIsASignOfANewerLeader() {
		this.fenceAvailable = true;
		list(LATER);
		runFor(20);
		reports("w1").poll();
		answerReport(LATER, List.of(), List.of());
		runFor(20);
		reports("w1").poll().callback
			.accept(new WorkerCommands.ReportResult.Missing(new CommandResult.Refused(CommandResult.Refusal.FENCED)));
		assertThat(this.scheduler.fenced()).isTrue();
	}

	@Test
	void silentRestartedVmIsWaitedForAsLongAsItsLeaseFromACommandForTheFormerIncarnationMayLast() {
		addIdleWorker();
		this.fenceAvailable = true;
		this.commands.startCallbacks.poll().accept(new CommandResult.Done(this.now - LATER));
		list(LATER);
		runFor(20);
		reports("w1").poll();
		this.leaderUntil = this.now;
		answerReport(LATER, List.of(running()), List.of());
		for (long end = this.now + 6000; this.now < end;) {
			runFor(20);
			reports("w1").forEach((report) -> report.callback
				.accept(new WorkerCommands.ReportResult.Missing(new CommandResult.Unknown())));
			reports("w1").clear();
		}
		assertThat(this.commands.startedTasks).hasSize(1);
		runFor(2000);
		assertThat(this.commands.startedTasks).hasSize(2);
	}

	@Test
	void runOfTheNewIncarnationIsNotSuspectedOfTheCrashOfTheFormerOne() {
		this.commands.startCallbacks.poll().accept(new CommandResult.Done(this.now - LATER));
		list(LATER);
		runFor(20);
		reports("w1").poll();
		answerReport(LATER, List.of(running()), List.of());
		runFor(20);
		assertThat(this.scheduler.state.suspects).isEmpty();
	}

	private void addIdleWorker() {
		this.scheduler.workerListed(listing("w2", FORMER));
		this.scheduler.tick();
		answerIdleWorker();
	}

	private void answerIdleWorker() {
		Deque<PendingReport> requests = this.commands.reports.getOrDefault(new WorkerId("w2"), new ArrayDeque<>());
		while (!requests.isEmpty()) {
			requests.poll().callback.accept(new WorkerCommands.ReportResult.Reported(
					new TaskReport(FORMER, this.now - FORMER, List.of(), List.of(), false)));
		}
	}

	private Deque<PendingReport> reports(String worker) {
		return this.commands.reports.get(new WorkerId(worker));
	}

	private void endTask() {
		this.commands.startCallbacks.poll().accept(new CommandResult.Done(this.now - FORMER));
		answerReport(FORMER, List.of(), List.of(done()));
		runFor(400);
		assertThat(reports("w1").peek().request.acknowledged()).isEqualTo(1);
	}

	private static TaskReport.Running running() {
		return new TaskReport.Running(TASK, 1, "", 10, 1000);
	}

	private static TaskReport.Ended done() {
		return new TaskReport.Ended(1, TASK, 1, RunOutcome.DONE, "");
	}

	private void list(long startMillis) {
		this.scheduler.workerListed(listing("w1", startMillis));
	}

	private static WorkerListing listing(String id, long startMillis) {
		return new WorkerListing(new WorkerId(id), startMillis, VirtualWorker.SERVICE,
				new InetSocketAddress(id.hashCode() & 0xFFF), "a", false, "r1-1", new Resources(8000, 16_000, 0),
				Set.of());
	}

	private void answerReport(long startMillis, List<TaskReport.Running> running, List<TaskReport.Ended> ended) {
		reports("w1").poll().callback.accept(new WorkerCommands.ReportResult.Reported(
				new TaskReport(startMillis, this.now - startMillis, running, ended, false)));
	}

	private void runFor(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += 20) {
			this.scheduler.tick();
			answerIdleWorker();
			this.scheduler.pollChanges(9).forEach(this.scheduler::changeStored);
		}
	}

	private record PendingReport(WorkerCommands.ReportRequest request, Consumer<WorkerCommands.ReportResult> callback) {
	}

	/**
	 * Holds back the results of commands until the test delivers them.
	 */
	private static final class ScriptedCommands implements WorkerCommands {

		private final List<TaskName> startedTasks = new ArrayList<>();

		private final Deque<Consumer<CommandResult>> startCallbacks = new ArrayDeque<>();

		private final Deque<Consumer<CommandResult>> stopCallbacks = new ArrayDeque<>();

		private final Map<WorkerId, Deque<PendingReport>> reports = new HashMap<>();

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			this.startedTasks.add(command.task());
			this.startCallbacks.add(callback);
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			this.stopCallbacks.add(callback);
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			callback.accept(new CommandResult.Done(0));
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			this.reports.computeIfAbsent(worker.id(), (id) -> new ArrayDeque<>())
				.add(new PendingReport(request, callback));
		}

	}

}
