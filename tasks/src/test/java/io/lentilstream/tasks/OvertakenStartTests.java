package io.lentilstream.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class OvertakenStartTests {

	private static final VmId VM = new VmId("vm-1");

	private final List<WorkerCommand> sent = new ArrayList<>();

	private MonotonicTime now = MonotonicTime.ofMillis(1);

	private TaskShard shard;

	// Guards against a task whose placement is lost because of a report of its earlier
	// attempt: a renewal overtook the start command, which waited for its group commit.
	// The task then ran without a commitment, and the VM was overcommitted.
	@Test
	void keepsThePlacementWhenARenewalReportsTheEarlierAttemptBeforeTheStart() {
		this.shard = ((RecoveryOutcome.Recovered) TaskShard.recover(ShardSimulation.SHARD, new Epoch(1), this.now, true,
				TaskDefaults.settings(), Optional.empty(), List.of()))
			.shard();
		process(this.shard.updateWorkers(
				List.of(new WorkerDescription(VM, new RackId("rack-1"), new Resources(8000, 32_000, 0), false)),
				this.now));
		process(this.shard.setCommitDeadline(this.now.plusMillis(60_000), this.now));
		succeed(awaitRenewal(), List.of());
		process(this.shard.submit(ShardSimulation.job("nightly", Urgency.BATCH, 1, 1), this.now));
		process(this.shard.tick(this.now));
		process(this.shard.tick(this.now));
		succeed(lastCommand(WorkerCommand.Start.class), List.of(report(TaskReport.State.RUNNING)));
		List<TaskReport> stopped = List.of(report(TaskReport.State.STOPPED));
		process(this.shard.handleReports(VM, stopped, this.now));
		succeed(awaitRenewal(), stopped);
		awaitRenewal();
		assertThat(this.sent).filteredOn(WorkerCommand.Start.class::isInstance).hasSize(2);

		process(this.shard.handleReports(VM, stopped, this.now));
		succeed(awaitRenewal(), stopped);

		assertThat(this.shard.counts(this.now).states()).containsEntry(TaskState.STARTING, 1);
		assertThat(this.sent).filteredOn(WorkerCommand.Start.class::isInstance).hasSize(2);
	}

	private WorkerCommand awaitRenewal() {
		for (int i = 0; i < 2; i++) {
			this.now = this.now.plusMillis(50);
			process(this.shard.tick(this.now));
		}
		return lastCommand(WorkerCommand.Renew.class);
	}

	private WorkerCommand lastCommand(Class<? extends WorkerCommand> type) {
		return this.sent.stream().filter(type::isInstance).reduce((first, second) -> second).orElseThrow();
	}

	private void succeed(WorkerCommand command, List<TaskReport> reports) {
		process(this.shard.handleCommandOutcome(VM, command, new WorkerOutcome.Done(reports), this.now));
	}

	private TaskReport report(TaskReport.State state) {
		WorkerCommand.Start start = (WorkerCommand.Start) lastCommand(WorkerCommand.Start.class);
		return new TaskReport(start.task().task(), state, new Epoch(1), start.task().resources(), Resources.NONE, 1,
				Optional.empty(), Optional.empty());
	}

	private void process(TaskStep step) {
		for (TaskAction action : step.actions()) {
			if (action instanceof TaskAction.Send send) {
				this.sent.add(send.command());
			}
		}
	}

}
