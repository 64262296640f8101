package io.lentilstream.entry.http;

import java.util.Optional;

import io.jooby.Context;
import io.jooby.Jooby;

import io.lentilstream.entry.calls.OwnerCall;
import io.lentilstream.entry.calls.OwnerCallHandler;
import io.lentilstream.entry.records.DeferrableKindDirectory;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.KindName;
import io.lentilstream.model.TeamId;

/**
 * HTTP routes under {@code /requests} and {@code /jobs}, whose calls are routed to the
 * owner of a shard.
 */
public final class OwnerCallRoutes {

	private static final byte[] NO_BODY = new byte[0];

	private final OwnerCallHandler ownerRouter;

	private final DeferrableKindDirectory kinds;

	/**
	 * Creates the routes.
	 * @param ownerRouter routes calls to the owner of their shard
	 * @param kinds finds kinds in the settings in force
	 */
	public OwnerCallRoutes(OwnerCallHandler ownerRouter, DeferrableKindDirectory kinds) {
		this.ownerRouter = ownerRouter;
		this.kinds = kinds;
	}

	/**
	 * Adds the routes to the application.
	 * @param app the application
	 */
	public void install(Jooby app) {
		app.post("/requests/{team}/{kind}", this::offer);
		app.get("/requests/{team}/{kind}/{key}", this::collect);
		app.post("/jobs/{team}", (context) -> job(context, OwnerCall.Operation.SUBMIT_JOB));
		app.get("/jobs/{team}/{key}", (context) -> job(context, OwnerCall.Operation.SHOW_JOB));
		app.delete("/jobs/{team}/{key}", (context) -> job(context, OwnerCall.Operation.CANCEL_JOB));
	}

	private Object offer(Context context) {
		Optional<IdempotencyKey> key;
		try {
			key = CallerHeaders.idempotencyKey(context);
		}
		catch (BadRequestException ex) {
			return HttpResponses.send(context, ProblemDetails.badRequest(ex.getMessage()));
		}
		if (key.isEmpty()) {
			return HttpResponses.send(context, ProblemDetails.badRequest(HttpMessages.MISSING_KEY));
		}
		return callForKind(context, OwnerCall.Operation.OFFER, key.get(), context.body().bytes());
	}

	private Object collect(Context context) {
		String key = context.path("key").value();
		if (!Identifiers.isValid(key)) {
			return HttpResponses.send(context, ProblemDetails.notFound(HttpMessages.UNKNOWN_KEY.formatted(key)));
		}
		return callForKind(context, OwnerCall.Operation.COLLECT, new IdempotencyKey(key), NO_BODY);
	}

	private Object callForKind(Context context, OwnerCall.Operation operation, IdempotencyKey key, byte[] body) {
		String team = context.path("team").value();
		String kind = context.path("kind").value();
		if (!Identifiers.isValid(team) || !Identifiers.isValid(kind)
				|| this.kinds.find(new TeamId(team), new KindName(kind)).isEmpty()) {
			return HttpResponses.send(context,
					ProblemDetails.notFound(HttpMessages.UNKNOWN_KIND.formatted(team, kind)));
		}
		return call(context, new OwnerCall(operation, new TeamId(team), Optional.of(new KindName(kind)), key, body));
	}

	private Object job(Context context, OwnerCall.Operation operation) {
		String team = context.path("team").value();
		boolean isSubmission = operation == OwnerCall.Operation.SUBMIT_JOB;
		String key = isSubmission ? context.header(CallerHeaders.IDEMPOTENCY_KEY).value("")
				: context.path("key").value();
		if (!Identifiers.isValid(key)) {
			return HttpResponses.send(context, ProblemDetails.badRequest(HttpMessages.MISSING_KEY));
		}
		if (!Identifiers.isValid(team)) {
			return HttpResponses.send(context, ProblemDetails.notFound(HttpMessages.NO_ROUTE));
		}
		byte[] body = isSubmission ? context.body().bytes() : NO_BODY;
		return call(context,
				new OwnerCall(operation, new TeamId(team), Optional.empty(), new IdempotencyKey(key), body));
	}

	private Object call(Context context, OwnerCall call) {
		this.ownerRouter.handle(call).thenAccept((outcome) -> HttpResponses.send(context, outcome));
		return context;
	}

}
