package io.lentilstream.entry.tasks;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.WorkerClient;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.entry.shards.LogDriver;
import io.lentilstream.entry.shards.LogListener;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.tasks.JobRefusal;
import io.lentilstream.tasks.JobResponse;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.RecoveryOutcome;
import io.lentilstream.tasks.TaskAction;
import io.lentilstream.tasks.TaskDefaults;
import io.lentilstream.tasks.TaskSettings;
import io.lentilstream.tasks.TaskShard;
import io.lentilstream.tasks.TaskStep;
import io.lentilstream.tasks.TeamQuota;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.WorkerDescription;

/**
 * The I/O driver of one owned task shard. It recovers the state of the shard from the
 * log, makes each step durable and then performs its actions. All state is confined to
 * the serial executor of the shard.
 */
public final class TaskShardDriver implements LogListener, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "tasks: ";

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ShardId id;

	private final Epoch epoch;

	private final boolean releasedCleanly;

	private final TaskSettings settings;

	private final WorkerClient workers;

	private final MonotonicClock clock;

	private final Executor serial;

	private final LogDriver log;

	private final ScheduledFuture<?> tickTask;

	private final Map<JobKey, Queue<CompletableFuture<Optional<JobResponse>>>> callers = new HashMap<>();

	private Collection<WorkerDescription> lastWorkers = List.of();

	private Collection<TeamQuota> lastQuotas = List.of();

	private Optional<MonotonicTime> commitDeadline = Optional.empty();

	private Consumer<Boolean> releaseCallback;

	private int commandsInFlight;

	private boolean closed;

	private volatile TaskShard shard;

	/**
	 * Creates a driver and starts the recovery of the shard.
	 * @param id the shard
	 * @param epoch the epoch of this owner
	 * @param releasedCleanly whether no capacity must be held back for tasks of an
	 * earlier owner
	 * @param settings the settings of task scheduling
	 * @param log the log of the shard
	 * @param store the client of the store that holds the log
	 * @param workers sends commands to workers
	 * @param clock the monotonic clock
	 * @param serial the serial executor of the shard
	 * @param timers schedules ticks
	 */
	public TaskShardDriver(ShardId id, Epoch epoch, boolean releasedCleanly, TaskSettings settings, ShardLog log,
			StoreClient store, WorkerClient workers, MonotonicClock clock, Executor serial,
			ScheduledExecutorService timers) {
		this.id = id;
		this.epoch = epoch;
		this.releasedCleanly = releasedCleanly;
		this.settings = settings;
		this.workers = workers;
		this.clock = clock;
		this.serial = serial;
		this.log = new LogDriver(log, store, this, clock, serial, timers);
		long period = TaskDefaults.TICK_INTERVAL.toMillis();
		this.tickTask = timers.scheduleAtFixedRate(() -> serial.execute(this::tick), period, period,
				TimeUnit.MILLISECONDS);
		serial.execute(this.log::tick);
	}

	/**
	 * Submits a job.
	 * @param job the job
	 * @return the response, or empty if the shard was lost before the outcome was known
	 */
	public CompletableFuture<Optional<JobResponse>> submit(JobSubmission job) {
		return runForCaller(new JobKey(job.team(), job.job()), (now) -> this.shard.submit(job, now));
	}

	/**
	 * Cancels a job.
	 * @param team the team
	 * @param job the key of the job
	 * @return the response, or empty if the shard was lost before the outcome was known
	 */
	public CompletableFuture<Optional<JobResponse>> cancel(TeamId team, JobId job) {
		return runForCaller(new JobKey(team, job), (now) -> this.shard.cancel(team, job, now));
	}

	/**
	 * Replaces the list of workers of the shard.
	 * @param listed the workers
	 */
	public void updateWorkers(Collection<WorkerDescription> listed) {
		this.serial.execute(() -> {
			this.lastWorkers = listed;
			runStep((now) -> this.shard.updateWorkers(listed, now));
		});
	}

	/**
	 * Replaces the quotas of the shard.
	 * @param quotas the quotas
	 */
	public void updateQuotas(Collection<TeamQuota> quotas) {
		this.serial.execute(() -> {
			this.lastQuotas = quotas;
			runStep((now) -> this.shard.updateQuotas(quotas, now));
		});
	}

	/**
	 * Sets the time after which no new work is committed.
	 * @param commitDeadline the commit deadline
	 */
	public void setCommitDeadline(MonotonicTime commitDeadline) {
		this.serial.execute(() -> {
			this.commitDeadline = Optional.of(commitDeadline);
			if (this.releaseCallback == null) {
				runStep((now) -> this.shard.setCommitDeadline(commitDeadline, now));
			}
		});
	}

	/**
	 * Stops accepting work, and notifies the callback once the log is idle and no command
	 * is in flight.
	 * @param onPrepared receives whether the release is clean: nothing is held back for
	 * an earlier owner
	 */
	public void prepareRelease(Consumer<Boolean> onPrepared) {
		this.serial.execute(() -> {
			this.releaseCallback = onPrepared;
			runStep((now) -> this.shard.setCommitDeadline(now, now));
			releaseIfIdle();
		});
	}

	/**
	 * Returns the state machine of the shard, for status queries.
	 * @return the shard, or empty before its recovery
	 */
	public Optional<TaskShard> shard() {
		return Optional.ofNullable(this.shard);
	}

	@Override
	public void recovered(Optional<byte[]> snapshot, List<byte[]> entries) {
		RecoveryOutcome outcome = TaskShard.recover(this.id, this.epoch, this.clock.now(), this.releasedCleanly,
				this.settings, snapshot, entries);
		if (outcome instanceof RecoveryOutcome.Unreadable unreadable) {
			failed(unreadable.reason());
			return;
		}
		this.shard = ((RecoveryOutcome.Recovered) outcome).shard();
		logger.atInfo().log(PREFIX + "recovered shard %s with %d jobs.", this.id, this.shard.jobs().size());
		runStep((now) -> this.shard.updateWorkers(this.lastWorkers, now));
		runStep((now) -> this.shard.updateQuotas(this.lastQuotas, now));
		this.commitDeadline.ifPresent((time) -> runStep((now) -> this.shard.setCommitDeadline(time, now)));
	}

	@Override
	public byte[] snapshot() {
		return this.shard.snapshot();
	}

	@Override
	public void fenced() {
		logger.atWarning().log(PREFIX + "shard %s was fenced by a newer owner.", this.id);
		stop();
	}

	@Override
	public void failed(String reason) {
		logger.atSevere().log(PREFIX + "cannot read the log of shard %s: %s.", this.id, reason);
		stop();
	}

	@Override
	public void close() {
		this.serial.execute(this::stop);
	}

	private void stop() {
		this.closed = true;
		this.tickTask.cancel(false);
		this.log.close();
		this.callers.values().forEach((queue) -> queue.forEach((caller) -> caller.complete(Optional.empty())));
		this.callers.clear();
	}

	private CompletableFuture<Optional<JobResponse>> runForCaller(JobKey key, Function<MonotonicTime, TaskStep> input) {
		CompletableFuture<Optional<JobResponse>> response = new CompletableFuture<>();
		this.serial.execute(() -> {
			if (this.closed || this.shard == null || this.releaseCallback != null || !this.log.acceptsNewWork()) {
				response
					.complete(Optional.of(new JobResponse.Refused(JobRefusal.STORE_UNAVAILABLE, RETRY_AFTER_MILLIS)));
				return;
			}
			this.callers.computeIfAbsent(key, (unused) -> new ArrayDeque<>()).add(response);
			runStep(input);
		});
		return response;
	}

	private void tick() {
		runStep((now) -> this.shard.tick(now));
		releaseIfIdle();
	}

	private void releaseIfIdle() {
		if (this.releaseCallback == null || this.closed || !this.log.isIdle() || this.commandsInFlight > 0) {
			return;
		}
		boolean cleanRelease = this.shard != null && this.shard.counts(this.clock.now()).unconfirmedTasks() == 0;
		this.releaseCallback.accept(cleanRelease);
	}

	private void runStep(Function<MonotonicTime, TaskStep> input) {
		if (this.closed || this.shard == null) {
			return;
		}
		TaskStep step = input.apply(this.clock.now());
		if (step.entries().isEmpty()) {
			step.actions().forEach(this::perform);
		}
		else {
			this.log.append(step.entries(), () -> step.actions().forEach(this::perform));
		}
	}

	private void perform(TaskAction action) {
		if (action instanceof TaskAction.Respond respond) {
			completeCaller(new JobKey(respond.team(), respond.job()), respond.response());
		}
		else if (action instanceof TaskAction.Send send) {
			send(send);
		}
	}

	private void completeCaller(JobKey key, JobResponse response) {
		Queue<CompletableFuture<Optional<JobResponse>>> queue = this.callers.get(key);
		if (queue == null) {
			return;
		}
		CompletableFuture<Optional<JobResponse>> caller = queue.poll();
		if (queue.isEmpty()) {
			this.callers.remove(key);
		}
		caller.complete(Optional.of(response));
	}

	private void send(TaskAction.Send send) {
		if (send.command() instanceof WorkerCommand.Start && !this.shard.mayStart(this.clock.now())) {
			runStep((now) -> this.shard.handleCommandOutcome(send.vm(), send.command(),
					new WorkerOutcome.Refused("commit deadline passed"), now));
			return;
		}
		this.commandsInFlight++;
		sendCommand(send).thenAccept((outcome) -> this.serial.execute(() -> {
			this.commandsInFlight--;
			runStep((now) -> this.shard.handleCommandOutcome(send.vm(), send.command(), outcome, now));
		}));
	}

	private CompletableFuture<WorkerOutcome> sendCommand(TaskAction.Send send) {
		WorkerCommand command = send.command();
		if (command instanceof WorkerCommand.Start start) {
			return this.workers.start(send.vm(), this.id, this.epoch, start.task(), start.lease());
		}
		if (command instanceof WorkerCommand.Renew renew) {
			return this.workers.renew(send.vm(), this.id, this.epoch, renew.lease());
		}
		if (command instanceof WorkerCommand.Checkpoint checkpoint) {
			return this.workers.checkpoint(send.vm(), this.id, this.epoch, checkpoint.task());
		}
		if (command instanceof WorkerCommand.Throttle throttle) {
			return this.workers.throttle(send.vm(), this.id, this.epoch, throttle.task(), throttle.share());
		}
		return this.workers.stop(send.vm(), this.id, this.epoch, ((WorkerCommand.Stop) command).tasks());
	}

	private record JobKey(TeamId team, JobId job) {
	}

}
