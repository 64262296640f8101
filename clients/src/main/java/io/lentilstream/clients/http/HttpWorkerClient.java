package io.lentilstream.clients.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;

import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;

import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.clients.WorkerClient;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.clients.http.PlatformMessages.WorkerCommand;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.VmId;

/**
 * Commands workers over HTTP.
 */
public final class HttpWorkerClient implements WorkerClient {

	private final HttpCalls calls;

	private final Function<VmId, String> addresses;

	private final LongSupplier wallClockMillis;

	/**
	 * Creates a client.
	 * @param calls sends the requests
	 * @param addresses returns the base URL of a worker, or {@code null} if it is not
	 * known
	 * @param wallClockMillis the wall clock, in milliseconds since 1970 UTC; must agree
	 * with those of the workers within the clock margin
	 */
	public HttpWorkerClient(HttpCalls calls, Function<VmId, String> addresses, LongSupplier wallClockMillis) {
		this.calls = calls;
		this.addresses = addresses;
		this.wallClockMillis = wallClockMillis;
	}

	@Override
	public CompletableFuture<WorkerOutcome> start(VmId vm, ShardId shard, Epoch epoch, TaskSpecification task,
			Duration lease) {
		return send(vm, "start", new WorkerCommand(shard.scope(), shard.index(), epoch.value(),
				PlatformJson.message(task), null, null, lease.toMillis(), endOf(lease)));
	}

	@Override
	public CompletableFuture<WorkerOutcome> renew(VmId vm, ShardId shard, Epoch epoch, Duration lease) {
		return send(vm, "renew", new WorkerCommand(shard.scope(), shard.index(), epoch.value(), null, null, null,
				lease.toMillis(), endOf(lease)));
	}

	@Override
	public CompletableFuture<WorkerOutcome> checkpoint(VmId vm, ShardId shard, Epoch epoch, TaskId task) {
		return send(vm, "checkpoint", new WorkerCommand(shard.scope(), shard.index(), epoch.value(), null,
				List.of(task.value()), null, null, null));
	}

	@Override
	public CompletableFuture<WorkerOutcome> throttle(VmId vm, ShardId shard, Epoch epoch, TaskId task, double share) {
		return send(vm, "throttle", new WorkerCommand(shard.scope(), shard.index(), epoch.value(), null,
				List.of(task.value()), share, null, null));
	}

	@Override
	public CompletableFuture<WorkerOutcome> stop(VmId vm, ShardId shard, Epoch epoch, List<TaskId> tasks) {
		return send(vm, "stop", new WorkerCommand(shard.scope(), shard.index(), epoch.value(), null,
				tasks.stream().map(TaskId::value).toList(), null, null, null));
	}

	// Without it, a command that a paused worker reads late would start a task after its
	// lease was given up and the task runs elsewhere.
	private long endOf(Duration lease) {
		return this.wallClockMillis.getAsLong() + lease.toMillis();
	}

	private CompletableFuture<WorkerOutcome> send(VmId vm, String command, WorkerCommand message) {
		String address = this.addresses.apply(vm);
		HttpUrl base = (address != null) ? HttpUrl.parse(address) : null;
		if (base == null) {
			return CompletableFuture.completedFuture(new WorkerOutcome.NoReply("unknown address"));
		}
		HttpUrl url = base.newBuilder().addPathSegment(command).build();
		RequestBody body = RequestBody.create(PlatformJson.write(message), HttpStoreClient.JSON);
		return this.calls
			.send(() -> new Request.Builder().url(url).post(body), this.calls.settings().callTimeout(),
					AnswerCheck.NONE)
			.thenApply(HttpWorkerClient::outcome);
	}

	private static WorkerOutcome outcome(HttpResult result) {
		if (result instanceof HttpResult.Failed failed) {
			return new WorkerOutcome.NoReply(failed.reason());
		}
		HttpResult.Whole whole = (HttpResult.Whole) result;
		return switch (whole.status()) {
			case JsonAnswers.OK -> orNoReply(whole, JsonAnswers.read(whole, PlatformMessages.ReportsAnswer.class,
					(answer) -> new WorkerOutcome.Done(answer.reports().stream().map(PlatformJson::report).toList())));
			case JsonAnswers.CONFLICT -> orNoReply(whole, JsonAnswers.read(whole, PlatformMessages.FencedAnswer.class,
					(answer) -> new WorkerOutcome.Fenced(new Epoch(answer.highest()))));
			case JsonAnswers.UNPROCESSABLE ->
				orNoReply(whole, JsonAnswers.read(whole, PlatformMessages.ErrorAnswer.class,
						(answer) -> answer.applied() ? null : new WorkerOutcome.Refused(answer.reason())));
			default -> new WorkerOutcome.NoReply(JsonAnswers.unexpected(whole));
		};
	}

	private static WorkerOutcome orNoReply(HttpResult.Whole whole, Optional<? extends WorkerOutcome> outcome) {
		if (outcome.isPresent()) {
			return outcome.get();
		}
		return new WorkerOutcome.NoReply(JsonAnswers.unexpected(whole));
	}

}
