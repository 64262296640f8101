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

	// Guards against a task that loses its place to the report of an earlier attempt: a
	// renewal overtook the start, which waited for its group commit. The task then ran
	// without a commitment, and a VM got more work than it holds.
	@Test
	void keepsThePlaceWhenARenewalListsTheEarlierAttemptBeforeTheStart() {
		this.shard = ((RecoveryOutcome.Recovered) TaskShard.recover(ShardWorld.SHARD, new Epoch(1), this.now, true,
				TaskDefaults.settings(), Optional.empty(), List.of()))
			.shard();
		take(this.shard.updateWorkers(
				List.of(new WorkerDescription(VM, new RackId("rack-1"), new Resources(8000, 32_000, 0), false)),
				this.now));
		take(this.shard.setCommitDeadline(this.now.plusMillis(60_000), this.now));
		answer(renewal(), List.of());
		take(this.shard.submit(ShardWorld.job("nightly", Urgency.BATCH, 1, 1), this.now));
		take(this.shard.tick(this.now));
		take(this.shard.tick(this.now));
		answer(last(WorkerCommand.Start.class), List.of(report(TaskReport.State.RUNNING)));
		List<TaskReport> stopped = List.of(report(TaskReport.State.STOPPED));
		take(this.shard.handleReports(VM, stopped, this.now));
		answer(renewal(), stopped);
		renewal();
		assertThat(this.sent).filteredOn(WorkerCommand.Start.class::isInstance).hasSize(2);

		take(this.shard.handleReports(VM, stopped, this.now));
		answer(renewal(), stopped);

		assertThat(this.shard.counts(this.now).states()).containsEntry(TaskState.STARTING, 1);
		assertThat(this.sent).filteredOn(WorkerCommand.Start.class::isInstance).hasSize(2);
	}

	private WorkerCommand renewal() {
		for (int i = 0; i < 2; i++) {
			this.now = this.now.plusMillis(50);
			take(this.shard.tick(this.now));
		}
		return last(WorkerCommand.Renew.class);
	}

	private WorkerCommand last(Class<? extends WorkerCommand> type) {
		return this.sent.stream().filter(type::isInstance).reduce((first, second) -> second).orElseThrow();
	}

	private void answer(WorkerCommand command, List<TaskReport> reports) {
		take(this.shard.handleCommandOutcome(VM, command, new WorkerOutcome.Done(reports), this.now));
	}

	private TaskReport report(TaskReport.State state) {
		WorkerCommand.Start start = (WorkerCommand.Start) last(WorkerCommand.Start.class);
		return new TaskReport(start.task().task(), state, new Epoch(1), start.task().resources(), Resources.NONE, 1,
				Optional.empty(), Optional.empty());
	}

	private void take(TaskStep step) {
		for (TaskAction action : step.actions()) {
			if (action instanceof TaskAction.Send send) {
				this.sent.add(send.command());
			}
		}
	}

}
