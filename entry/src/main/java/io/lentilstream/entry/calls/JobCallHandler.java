package io.lentilstream.entry.calls;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.lentilstream.entry.http.ProblemDetails;
import io.lentilstream.entry.tasks.TaskShardDriver;
import io.lentilstream.model.JobId;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.tasks.JobRefusal;
import io.lentilstream.tasks.JobResponse;
import io.lentilstream.tasks.JobView;
import io.lentilstream.tasks.TaskShard;

/**
 * A handler of calls about jobs of an owned task shard.
 */
public final class JobCallHandler implements OwnerCallHandler {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int ACCEPTED = 202;

	private static final int OK = 200;

	private final TaskShardDriver shard;

	private final DefaultTaskSizes defaults;

	/**
	 * Creates a handler.
	 * @param shard the owned shard
	 * @param defaults the default task sizes
	 */
	public JobCallHandler(TaskShardDriver shard, DefaultTaskSizes defaults) {
		this.shard = shard;
		this.defaults = defaults;
	}

	@Override
	public CompletableFuture<RequestOutcome> handle(OwnerCall call) {
		JobId job = new JobId(call.key().value());
		return switch (call.operation()) {
			case SUBMIT_JOB -> submit(call, job);
			case CANCEL_JOB ->
				this.shard.cancel(call.team(), job).thenApply((response) -> responseOutcome(call, response));
			default -> CompletableFuture.completedFuture(describe(call, job));
		};
	}

	private CompletableFuture<RequestOutcome> submit(OwnerCall call, JobId job) {
		try {
			return this.shard.submit(JobParser.parse(call.team(), job, call.body(), this.defaults))
				.thenApply((response) -> responseOutcome(call, response));
		}
		catch (IOException | IllegalArgumentException ex) {
			return CompletableFuture.completedFuture(ProblemOutcomes.of(ProblemDetails.badRequest(ex.getMessage())));
		}
	}

	private RequestOutcome describe(OwnerCall call, JobId job) {
		Optional<TaskShard> tasks = this.shard.shard();
		if (tasks.isEmpty()) {
			return new RequestOutcome.NotRun(NotRunReason.OWNER_UNAVAILABLE, 1_000);
		}
		return tasks.get()
			.job(call.team(), job)
			.map(JobCallHandler::viewOutcome)
			.orElseGet(() -> ProblemOutcomes.of(ProblemDetails.notFound("The job is not known.")));
	}

	private static RequestOutcome viewOutcome(JobView view) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("job", view.job().value());
		node.put("team", view.team().value());
		node.put("urgency", view.urgency().name().toLowerCase(java.util.Locale.ROOT));
		node.put("ended", view.ended());
		view.problem().ifPresent((problem) -> node.put("problem", problem));
		ObjectNode states = node.putObject("tasks");
		view.tasks().forEach((state, count) -> states.put(state.name().toLowerCase(java.util.Locale.ROOT), count));
		return jsonOutcome(OK, node);
	}

	private static RequestOutcome responseOutcome(OwnerCall call, Optional<JobResponse> response) {
		if (response.isEmpty()) {
			return new RequestOutcome.Unknown(new RequestId(call.key().value()));
		}
		if (response.get() instanceof JobResponse.Accepted accepted) {
			ObjectNode node = MAPPER.createObjectNode();
			node.put("job", call.key().value());
			node.put("duplicate", accepted.duplicate());
			return jsonOutcome(ACCEPTED, node);
		}
		if (response.get() instanceof JobResponse.Cancelled cancelled) {
			return jsonOutcome(OK,
					MAPPER.createObjectNode().put("job", call.key().value()).put("tasks", cancelled.tasks()));
		}
		if (response.get() instanceof JobResponse.NotFound) {
			return ProblemOutcomes.of(ProblemDetails.notFound("The job is not known."));
		}
		return refusalOutcome(call, (JobResponse.Refused) response.get());
	}

	private static RequestOutcome refusalOutcome(OwnerCall call, JobResponse.Refused refused) {
		JobRefusal reason = refused.reason();
		return switch (reason) {
			case STORE_UNAVAILABLE ->
				new RequestOutcome.NotRun(NotRunReason.STORE_UNAVAILABLE, refused.retryAfterMillis());
			case QUEUE_FULL -> new RequestOutcome.NotRun(NotRunReason.QUEUE_FULL, refused.retryAfterMillis());
			case OVER_QUOTA -> new RequestOutcome.NotRun(NotRunReason.OVER_QUOTA, refused.retryAfterMillis());
			case KEY_CONFLICT -> ProblemOutcomes.of(ProblemDetails.keyConflict(call.key()));
			case INVALID -> ProblemOutcomes.of(ProblemDetails.badRequest("The job has no valid tasks."));
			case LARGER_THAN_EVERY_VM ->
				ProblemOutcomes.of(ProblemDetails.badRequest("A task is larger than every VM."));
		};
	}

	private static RequestOutcome jsonOutcome(int status, ObjectNode node) {
		try {
			return new RequestOutcome.Answered(status, "application/json", MAPPER.writeValueAsBytes(node));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize the response as JSON", ex);
		}
	}

}
