package io.lentilstream.entry.http;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;

import io.lentilstream.administration.Access;
import io.lentilstream.administration.ChangeId;
import io.lentilstream.administration.ChangeOutcome;
import io.lentilstream.administration.ChangeRecord;
import io.lentilstream.administration.ChangeRequest;
import io.lentilstream.administration.Difference;
import io.lentilstream.administration.QueryOutcome;
import io.lentilstream.administration.SettingsManager;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.membership.InForceReport;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.Revision;

/**
 * HTTP routes under {@code /admin} that change and query settings.
 */
public final class SettingsRoutes {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final SettingsManager administrator;

	private final AdministrationAuthenticator authenticator;

	private final BiFunction<StoreKey, Revision, InForceReport> inForce;

	private final RandomGenerator random;

	private final LongSupplier wallClockMillis;

	/**
	 * Creates the routes.
	 * @param administrator validates and stores changes
	 * @param authenticator authenticates operators
	 * @param inForce returns which entry VMs have a revision in force
	 * @param random the randomness of change ids
	 * @param wallClockMillis the clock for the times of changes, in milliseconds since
	 * 1970 UTC
	 */
	public SettingsRoutes(SettingsManager administrator, AdministrationAuthenticator authenticator,
			BiFunction<StoreKey, Revision, InForceReport> inForce, RandomGenerator random,
			LongSupplier wallClockMillis) {
		this.administrator = administrator;
		this.authenticator = authenticator;
		this.inForce = inForce;
		this.random = random;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Adds the routes to the application.
	 * @param app the application
	 */
	public void install(Jooby app) {
		app.get("/admin/settings/*", this::get);
		app.post("/admin/settings", this::set);
		app.get("/admin/history/*", this::history);
		app.post("/admin/revert", this::revert);
		app.get("/admin/changes/{id}", this::status);
		app.get("/admin/in-force/*", this::inForce);
	}

	private Object get(Context context) {
		String path = path(context);
		Access caller = this.authenticator.authenticate(context);
		if (context.query("list").isMissing()) {
			return sendResult(context, this.administrator.get(caller, path), (view) -> {
				ObjectNode node = MAPPER.createObjectNode();
				node.put("path", view.path());
				node.put("value", view.value());
				node.put("isDefault", view.isDefault());
				node.put("revision", view.revision().value());
				return node;
			});
		}
		return sendResult(context, this.administrator.list(caller, path), MAPPER::valueToTree);
	}

	private Object history(Context context) {
		return sendResult(context, this.administrator.history(this.authenticator.authenticate(context), path(context)),
				(changes) -> {
					ArrayNode array = MAPPER.createArrayNode();
					changes.forEach((change) -> array.add(json(change)));
					return array;
				});
	}

	private Object status(Context context) {
		String id = context.path("id").value();
		try {
			return sendResult(context,
					this.administrator.statusOf(this.authenticator.authenticate(context), new ChangeId(id)),
					SettingsRoutes::json);
		}
		catch (IllegalArgumentException ex) {
			return HttpResponses.send(context, ProblemDetails.badRequest("The change id is not valid."));
		}
	}

	private Object inForce(Context context) {
		StoreKey key = new StoreKey(path(context));
		if (!this.authenticator.authenticate(context).mayRead(key.path())) {
			return AdministrationAuthenticator.sendForbidden(context);
		}
		Revision revision = new Revision(Math.max(0, context.query("revision").longValue(0)));
		InForceReport report = this.inForce.apply(key, revision);
		ObjectNode node = MAPPER.createObjectNode();
		node.set("inForce", MAPPER.valueToTree(report.inForce().stream().map(Object::toString).toList()));
		node.set("behind", MAPPER.valueToTree(report.behind().stream().map(Object::toString).toList()));
		node.set("unknown", MAPPER.valueToTree(report.unknown().stream().map(Object::toString).toList()));
		return HttpResponses.sendJson(context, 200, node);
	}

	private Object set(Context context) {
		Access caller = this.authenticator.authenticate(context);
		return change(context, (body) -> {
			Map<String, Optional<String>> edits = new LinkedHashMap<>();
			body.path("edits")
				.fields()
				.forEachRemaining((edit) -> edits.put(edit.getKey(),
						edit.getValue().isNull() ? Optional.empty() : Optional.of(edit.getValue().asText())));
			if (edits.isEmpty()) {
				throw new IllegalArgumentException("\"edits\" must name at least one path.");
			}
			ChangeRequest request = changeRequest(context, caller, body, edits.keySet().iterator().next(), edits);
			return body.path("dryRun").asBoolean(false) ? this.administrator.dryRun(caller, request)
					: this.administrator.set(caller, request);
		});
	}

	private Object revert(Context context) {
		Access caller = this.authenticator.authenticate(context);
		return change(context, (body) -> {
			String document = body.path("document").asText("");
			ChangeRequest request = changeRequest(context, caller, body, document, Map.of());
			return this.administrator.revert(caller, request, document,
					new Revision(Math.max(0, body.path("revision").asLong(0))));
		});
	}

	private ChangeRequest changeRequest(Context context, Access caller, JsonNode body, String path,
			Map<String, Optional<String>> edits) {
		String requestedId = body.path("changeId").asText("");
		ChangeId id = requestedId.isEmpty()
				? ChangeId.create(path, this.random)
					.orElseThrow(() -> new IllegalArgumentException("No document can hold " + path + "."))
				: new ChangeId(requestedId);
		Optional<Revision> expected = body.has("expectedRevision")
				? Optional.of(new Revision(Math.max(0, body.path("expectedRevision").asLong()))) : Optional.empty();
		return new ChangeRequest(id, author(caller, body), body.path("reason").asText(""),
				this.wallClockMillis.getAsLong(), edits, expected);
	}

	private static String author(Access caller, JsonNode body) {
		if (caller instanceof Access.TeamOperator operator) {
			return operator.team() + "/" + operator.keyName();
		}
		String author = body.path("author").asText("");
		return Identifiers.isValid(author) ? author : "administrator";
	}

	private Object change(Context context, Function<JsonNode, CompletableFuture<ChangeOutcome>> call) {
		try {
			JsonNode body = MAPPER.readTree(context.body().bytes());
			if (body == null || !body.isObject()) {
				throw new IllegalArgumentException("The body must be a JSON object.");
			}
			call.apply(body).thenAccept((outcome) -> send(context, outcome));
			return context;
		}
		catch (IOException ex) {
			return HttpResponses.send(context, ProblemDetails.badRequest("The body is not valid JSON."));
		}
		catch (IllegalArgumentException ex) {
			return HttpResponses.send(context, ProblemDetails.badRequest(ex.getMessage()));
		}
	}

	private static void send(Context context, ChangeOutcome outcome) {
		ObjectNode node = MAPPER.createObjectNode();
		if (outcome instanceof ChangeOutcome.Accepted accepted) {
			node.put("outcome", "accepted").put("changeId", accepted.id().value());
			node.put("document", accepted.document()).put("revision", accepted.revision().value());
			HttpResponses.sendJson(context, 200, node);
		}
		else if (outcome instanceof ChangeOutcome.WouldBeAccepted preview) {
			node.put("outcome", "would-be-accepted").put("document", preview.document());
			node.put("revision", preview.current().value());
			ArrayNode differences = node.putArray("differences");
			preview.differences().forEach((difference) -> differences.add(json(difference)));
			HttpResponses.sendJson(context, 200, node);
		}
		else if (outcome instanceof ChangeOutcome.Invalid invalid) {
			node.put("outcome", "invalid");
			ArrayNode mistakes = node.putArray("mistakes");
			invalid.mistakes().forEach((mistake) -> mistakes.add(mistake.toString()));
			HttpResponses.sendJson(context, 400, node);
		}
		else if (outcome instanceof ChangeOutcome.Conflict conflict) {
			node.put("outcome", "conflict").put("document", conflict.document());
			node.put("revision", conflict.current().value());
			ArrayNode others = node.putArray("others");
			conflict.others().forEach((other) -> others.add(json(other)));
			HttpResponses.sendJson(context, 409, node);
		}
		else {
			HttpResponses.send(context, problem(outcome));
		}
	}

	private static ProblemDetails problem(ChangeOutcome outcome) {
		if (outcome instanceof ChangeOutcome.Forbidden forbidden) {
			return ProblemDetails.simple("forbidden", 403, "Not allowed",
					"The key does not allow a change of " + forbidden.path() + ".");
		}
		if (outcome instanceof ChangeOutcome.TooLarge tooLarge) {
			return ProblemDetails.simple("too-large", 413, "The document is too large",
					"It would have %d bytes; the limit is %d.".formatted(tooLarge.bytes(), tooLarge.limit()));
		}
		if (outcome instanceof ChangeOutcome.NotInHistory missing) {
			return ProblemDetails.notFound("Revision " + missing.revision() + " is not in the history.");
		}
		if (outcome instanceof ChangeOutcome.Unavailable unavailable) {
			return ProblemDetails.simple("not-accepted", 503, "The change was not accepted",
					"The store cannot be used: " + unavailable.reason() + ".");
		}
		ChangeOutcome.Unknown unknown = (ChangeOutcome.Unknown) outcome;
		return new ProblemDetails("outcome-unknown", 504, "The outcome is unknown",
				"Ask for the change with its id before trying again.", Optional.empty(),
				Optional.of(unknown.id().value()), java.util.OptionalLong.empty());
	}

	private <T> Object sendResult(Context context, CompletableFuture<QueryOutcome<T>> query,
			Function<T, JsonNode> toJson) {
		query.thenAccept((outcome) -> {
			if (outcome instanceof QueryOutcome.Found<T> found) {
				HttpResponses.sendJson(context, 200, toJson.apply(found.result()));
			}
			else if (outcome instanceof QueryOutcome.NotFound<T> missing) {
				HttpResponses.send(context, ProblemDetails.notFound("There is no " + missing.what() + "."));
			}
			else if (outcome instanceof QueryOutcome.Unavailable<T> unavailable) {
				HttpResponses.send(context,
						ProblemDetails.simple("unavailable", 503, "The store cannot be used", unavailable.reason()));
			}
			else {
				AdministrationAuthenticator.sendForbidden(context);
			}
		});
		return context;
	}

	private static ObjectNode json(ChangeRecord change) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("changeId", change.id().value()).put("revision", change.revision().value());
		node.put("author", change.author()).put("reason", change.reason()).put("atMillis", change.atMillis());
		ObjectNode edits = node.putObject("edits");
		change.edits().forEach((path, edit) -> {
			ObjectNode pair = edits.putObject(path);
			pair.put("before", edit.before().orElse(null));
			pair.put("after", edit.after().orElse(null));
		});
		return node;
	}

	private static ObjectNode json(Difference difference) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("path", difference.path());
		node.put("before", difference.before().orElse(null));
		node.put("after", difference.after().orElse(null));
		return node;
	}

	private static String path(Context context) {
		return "/" + context.pathMap().getOrDefault("*", "");
	}

}
