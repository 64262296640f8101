package io.lentilstream.control.term;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.TaskReport;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class TermTests {

	private static final long RETENTION_MILLIS = 60_000;

	private static final long INCARNATION_START_MILLIS = 5;

	private static final long VM_DELAY_MILLIS = 5;

	private static final String WORKER_KEY = "servers/vm-1";

	private static final byte[] READY = { 0 };

	private static final byte[] DRAINING = { 1 };

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("a");

	private static final JobId JOB = new JobId("job-1");

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final List<String> log = new ArrayList<>();

	private final List<TaskReport.Running> starts = new ArrayList<>();

	private final List<TaskName> stops = new ArrayList<>();

	private Set<AvailabilityZoneId> evacuatedZones = Set.of();

	private int terms;

	@Test
	void aCancellationThatPrecedesItsSubmissionHoldsAfterAChangeOfLeader() {
		Term first = startTerm();
		this.store.put(JobKeys.cancellation(JOB), new byte[] { 1 });
		this.loop.runFor(500);
		first.stop();
		Term second = startTerm();
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		this.loop.runFor(2000);
		assertThat(this.starts).isEmpty();
		assertThat(second.state(JOB)).contains(JobState.CANCELLED);
	}

	@Test
	void aCancellationWithoutASubmissionIsDeletedAfterTheRetentionTime() {
		this.store.put(JobKeys.cancellation(JOB), new byte[] { 1 });
		startTerm();
		this.loop.runFor(RETENTION_MILLIS - 5000);
		assertThat(this.store.value(JobKeys.cancellation(JOB))).isNotNull();
		this.loop.runFor(15_000);
		assertThat(this.store.value(JobKeys.cancellation(JOB))).isNull();
	}

	@Test
	void aCancellationIsNotDeletedWithoutTheSubmissionThatTheLeaderCannotRead() {
		this.store.put(JobKeys.cancellation(JOB), new byte[] { 1 });
		this.store.put(JobKeys.submission(JOB), new byte[] { 1, 2, 3 });
		startTerm();
		this.loop.runFor(2 * RETENTION_MILLIS);
		assertThat(this.store.value(JobKeys.cancellation(JOB))).isNotNull();
	}

	@Test
	void aJobRunsWithoutACancellation() {
		Term term = startTerm();
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		this.loop.runFor(2000);
		assertThat(this.starts).isNotEmpty();
		assertThat(term.state(JOB)).contains(JobState.RUNNING);
	}

	@Test
	void aTombstoneIsNotAJob() {
		this.store.put(JobKeys.submission(JOB), SubmissionTombstone.value());
		Term term = startTerm();
		this.store.put(JobKeys.submission(new JobId("job-2")), SubmissionTombstone.value());
		this.loop.runFor(2000);
		assertThat(term.state(JOB)).isEmpty();
		assertThat(term.queuedJobs("queue")).contains(0);
		assertThat(this.log).contains("term-begun").doesNotContain("job-unreadable");
	}

	// Guards against an odd key that ends each leader.
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "a/b", "..", "\u00e4" })
	void anItemWhoseKeyHoldsNoJobIsPassedOver(String name) {
		startTerm();
		for (String prefix : List.of(JobKeys.CANCELLATIONS, JobKeys.SUBMISSIONS, JobKeys.PROGRESS)) {
			this.store.put(prefix + name, new byte[] { 1 });
		}
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		this.loop.runFor(2000);
		assertThat(this.starts).hasSize(1);
		startTerm();
		assertThat(this.log).filteredOn("term-begun"::equals).hasSize(2);
	}

	@Test
	void aVmThatDrainsGetsNoTasksAfterAChangeOfLeader() {
		Term first = startTerm();
		this.store.put(WORKER_KEY, DRAINING);
		this.loop.runFor(500);
		first.stop();
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		Term second = startTerm();
		this.loop.runFor(10_000);
		assertThat(this.starts).isEmpty();
		assertThat(second.state(JOB)).contains(JobState.QUEUED);
	}

	@Test
	void aZoneUnderEvacuationGetsNoTasksAfterAChangeOfLeader() {
		Term first = startTerm();
		first.updateEvacuations(Set.of(ZONE));
		this.loop.runFor(500);
		first.stop();
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		this.evacuatedZones = Set.of(ZONE);
		startTerm();
		this.loop.runFor(10_000);
		assertThat(this.starts).isEmpty();
	}

	@Test
	void aSubmissionStoredJustBeforeTheLeaderIsLostRunsUnderItsSuccessor() {
		Term first = startTerm();
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		first.stop();
		Term second = startTerm();
		this.loop.runFor(10_000);
		assertThat(second.state(JOB)).contains(JobState.RUNNING);
		assertThat(this.starts).hasSize(1);
	}

	@Test
	void aCancellationStoredJustBeforeTheLeaderIsLostHoldsUnderItsSuccessor() {
		Term first = startTerm();
		this.store.put(JobKeys.submission(JOB), SubmissionCodec.encode(job()));
		this.loop.runFor(500);
		assertThat(this.starts).hasSize(1);
		first.stop();
		this.store.put(JobKeys.cancellation(JOB), new byte[] { 1 });
		Term second = startTerm();
		this.loop.runFor(10_000);
		assertThat(second.state(JOB)).contains(JobState.CANCELLED);
		assertThat(this.starts).hasSize(1);
		assertThat(this.stops).isNotEmpty();
	}

	private Term startTerm() {
		this.store.put(Leadership.LEADER_KEY, new byte[1]);
		List<Long> token = new ArrayList<>();
		this.store.read(Leadership.LEADER_KEY, (reply) -> {
			if (reply instanceof StoreReply.Ok<StoredItem> item) {
				token.add(item.value().revision());
			}
		});
		this.loop.runFor(10);
		Term term = new Term(
				new Term.Dependencies(this.loop, this.store, (decision, subject, inputs) -> this.log.add(decision)),
				new Leadership.LeaderTerm(this.terms++, token.get(0), () -> Long.MAX_VALUE, false), new OneVmPlatform(),
				new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of()), RETENTION_MILLIS, (reason) -> {
				}, () -> true, () -> 0);
		if (this.store.value(WORKER_KEY) == null) {
			this.store.put(WORKER_KEY, READY);
		}
		term.updateEvacuations(this.evacuatedZones);
		term.start();
		this.loop.runFor(500);
		return term;
	}

	private static JobSubmission job() {
		StepSpec step = new StepSpec(1, new Resources(1000, 100, 0), 500, List.of(), StepSpec.Traits.NONE,
				StepSpec.Placement.ANYWHERE, "", 0, -1);
		return new JobSubmission(JOB, "queue", new QueuePolicy(new ServiceName("press"), 0, 2, 2, 500), "payload",
				List.of(step), JobSubmission.Schedule.ONCE, 5);
	}

	/**
	 * A platform with one VM.
	 */
	private final class OneVmPlatform implements WorkerPlatform {

		@Override
		public CommandClient commandClient(ToLongFunction<WorkerId> fencingTokens) {
			return new RunningVm();
		}

		@Override
		public String workerListPrefix() {
			return "servers/";
		}

		@Override
		public Optional<WorkerListing> decode(StoredItem item) {
			return Optional.of(new WorkerListing(new WorkerId(workerIdOf(item.key())), INCARNATION_START_MILLIS,
					new ServiceName("press"), new InetSocketAddress("127.0.0.1", 1), ZONE.value(),
					Arrays.equals(item.value(), DRAINING), "r1", new Resources(4000, 1000, 0), Set.of()));
		}

		@Override
		public String workerIdOf(String key) {
			return key.substring(workerListPrefix().length());
		}

	}

	/**
	 * A VM on which started tasks run without end.
	 */
	private final class RunningVm implements WorkerPlatform.CommandClient {

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			TermTests.this.starts.add(new TaskReport.Running(command.task(), command.run(), "", 0, 0));
			respond(callback, new CommandResult.Done(vmClock()));
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			TermTests.this.stops.add(task);
			respond(callback, new CommandResult.Done(vmClock()));
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			respond(callback, new CommandResult.Done(vmClock()));
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
			TaskReport report = new TaskReport(INCARNATION_START_MILLIS, vmClock(), List.copyOf(TermTests.this.starts),
					List.of(), false);
			respond(callback, new ReportResult.Reported(report));
		}

		private <T> void respond(Consumer<T> callback, T result) {
			TermTests.this.loop.schedule(VM_DELAY_MILLIS, () -> callback.accept(result));
		}

		private long vmClock() {
			return TermTests.this.loop.now();
		}

		@Override
		public void close() {
			// There are no connections.
		}

	}

}
