package io.lentilstream.control.term;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.DisturbedStore;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.codec.SubmissionCodec;
import io.lentilstream.jobs.scheduling.SchedulerSettings;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class TermLoadTests {

	private static final long TOKEN = 2;

	private static final int JOBS = 20;

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore memory = new MemoryStore(this.loop);

	private final DisturbedStore store = new DisturbedStore(this.loop, this.memory, 5);

	private final List<String> log = new ArrayList<>();

	private final Term term = new Term(
			new Term.Dependencies(this.loop, this.store,
					(decision, subject, inputs) -> this.log.add(decision + " " + Arrays.toString(inputs))),
			new Leadership.LeaderTerm(1, TOKEN, () -> Long.MAX_VALUE, false), new NoWorkers(),
			new SchedulerSettings(6000, 3, 4000, 4000, 3000, Set.of()), 60_000, (reason) -> {
			}, () -> true, () -> 0);

	@Test
	void aFailedReadIsLoggedWithItsKeyNumberAndTime() {
		storeJobs();
		this.store.unanswered = JobKeys.WORKERS::equals;
		this.term.start();
		this.loop.runFor(1000);
		this.store.unanswered = (read) -> false;
		this.loop.runFor(1500);
		assertThat(lines("term-load-failed")).first()
			.asString()
			.contains("read, lentilstream/workers, failed-reads, 1, after-ms, 700, reply, Unknown[reason=no reply]");
		assertThat(lines("term-begun")).hasSize(1);
	}

	// Guards against a load that started from scratch after each failed read and never
	// completed, while the leader renewed its lease.
	@Test
	void aTermBeginsAlthoughEveryThirdReadGetsNoReply() {
		storeJobs();
		this.store.unanswered = (read) -> this.store.reads.size() % 3 == 0;
		this.term.start();
		this.loop.runFor(6000);
		assertThat(lines("term-begun")).singleElement().asString().contains("jobs, " + JOBS);
	}

	@Test
	void onlyThePageThatFailedIsReadAgain() {
		storeJobs();
		String failing = JobKeys.INTAKE + " after " + JobKeys.submission(new JobId("%016x".formatted(9)));
		this.store.unanswered = (read) -> read.equals(failing) && this.loop.now() < 11_000;
		this.term.start();
		this.loop.runFor(3000);
		assertThat(lines("term-begun")).hasSize(1);
		assertThat(this.store.reads).filteredOn((read) -> read.startsWith(JobKeys.INTAKE))
			.hasSize(JOBS / 5 + 2)
			.filteredOn(failing::equals)
			.hasSize(3);
	}

	@Test
	void aTermThatWasStoppedReadsNothingMore() {
		this.store.unanswered = JobKeys.WORKERS::equals;
		this.term.start();
		this.loop.runFor(1000);
		this.term.stop();
		int reads = this.store.reads.size();
		this.loop.runFor(5000);
		assertThat(this.store.reads).hasSize(reads);
	}

	private List<String> lines(String decision) {
		return this.log.stream().filter((line) -> line.startsWith(decision + " ")).toList();
	}

	private void storeJobs() {
		for (int i = 0; i < JOBS; i++) {
			JobId id = new JobId("%016x".formatted(i));
			StepSpec step = new StepSpec(1, new Resources(1000, 100, 0), 1000, List.of(), StepSpec.Traits.NONE,
					StepSpec.Placement.ANYWHERE, "", 0, -1);
			JobSubmission job = new JobSubmission(id, "press", new QueuePolicy(new ServiceName("press"), 0, 2, 2, 500),
					"payload", List.of(step), JobSubmission.Schedule.ONCE, 5);
			this.memory.put(JobKeys.submission(id), SubmissionCodec.encode(job));
		}
	}

	/**
	 * A platform without VMs.
	 */
	private static final class NoWorkers implements WorkerPlatform {

		@Override
		public CommandClient commandClient(ToLongFunction<WorkerId> fencingTokens) {
			return new NoCommands();
		}

		@Override
		public String workerListPrefix() {
			return "servers/";
		}

		@Override
		public Optional<WorkerListing> decode(StoredItem item) {
			return Optional.empty();
		}

		@Override
		public String workerIdOf(String key) {
			return key;
		}

	}

	/**
	 * Rejects all commands.
	 */
	private static final class NoCommands implements WorkerPlatform.CommandClient {

		@Override
		public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected command, since there are no VMs");
		}

		@Override
		public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected command, since there are no VMs");
		}

		@Override
		public void setSpeed(WorkerListing worker, TaskName task, int run, int percent,
				Consumer<CommandResult> callback) {
			throw new IllegalStateException("unexpected command, since there are no VMs");
		}

		@Override
		public void requestReport(WorkerListing worker, ReportRequest request,
				Consumer<WorkerCommands.ReportResult> callback) {
			throw new IllegalStateException("unexpected command, since there are no VMs");
		}

		@Override
		public void close() {
			// Nothing is open.
		}

	}

}
