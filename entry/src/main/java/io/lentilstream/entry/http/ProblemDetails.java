package io.lentilstream.entry.http;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;

/**
 * Is the body of an answer that is not a success, as of RFC 9457.
 *
 * @param type the last part of the problem type
 * @param status the HTTP status
 * @param title a short summary
 * @param detail what happened in this case
 * @param reason why a request was not run, if that is the problem
 * @param id the id to ask with later, if the outcome is unknown
 * @param retryAfterMillis milliseconds after which a new try makes sense
 */
public record ProblemDetails(String type, int status, String title, String detail, Optional<NotRunReason> reason,
		Optional<String> id, OptionalLong retryAfterMillis) {

	/**
	 * Media type of the body.
	 */
	public static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:lentilstream:problem:";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Describes a request that no endpoint ran.
	 * @param reason why
	 * @param retryAfterMillis milliseconds after which a new try makes sense; 0 if none
	 * does
	 * @return the problem
	 */
	public static ProblemDetails notRun(NotRunReason reason, long retryAfterMillis) {
		int status = (reason == NotRunReason.OVER_QUOTA) ? 429 : 503;
		OptionalLong retry = (retryAfterMillis > 0) ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty();
		return new ProblemDetails("not-run", status, "The request was not run", HttpMessages.describe(reason),
				Optional.of(reason), Optional.empty(), retry);
	}

	/**
	 * Describes a request that was sent and whose outcome is not known.
	 * @param id the id to ask with later
	 * @return the problem
	 */
	public static ProblemDetails unknown(RequestId id) {
		return new ProblemDetails("outcome-unknown", 504, "The outcome is unknown", HttpMessages.OUTCOME_UNKNOWN,
				Optional.empty(), Optional.of(id.value()), OptionalLong.empty());
	}

	/**
	 * Describes a request that cannot be understood.
	 * @param detail what is wrong with it
	 * @return the problem
	 */
	public static ProblemDetails badRequest(String detail) {
		return simple("bad-request", 400, "The request is not valid", detail);
	}

	/**
	 * Describes a path that names nothing.
	 * @param detail what was not found
	 * @return the problem
	 */
	public static ProblemDetails notFound(String detail) {
		return simple("not-found", 404, "Not found", detail);
	}

	/**
	 * Describes an idempotency key that was used with another body.
	 * @param key the key
	 * @return the problem
	 */
	public static ProblemDetails keyConflict(IdempotencyKey key) {
		return simple("key-conflict", 409, "The key is in use", HttpMessages.KEY_CONFLICT.formatted(key.value()));
	}

	/**
	 * Creates a problem without further members.
	 * @param type the last part of the problem type
	 * @param status the HTTP status
	 * @param title a short summary
	 * @param detail what happened
	 * @return the problem
	 */
	public static ProblemDetails simple(String type, int status, String title, String detail) {
		return new ProblemDetails(type, status, title, detail, Optional.empty(), Optional.empty(),
				OptionalLong.empty());
	}

	/**
	 * Writes the problem as JSON.
	 * @return the bytes of the body
	 */
	public byte[] toJson() {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("type", TYPE_PREFIX + this.type);
		node.put("title", this.title);
		node.put("status", this.status);
		node.put("detail", this.detail);
		this.reason.ifPresent((value) -> node.put("reason", value.name().toLowerCase(Locale.ROOT).replace('_', '-')));
		this.id.ifPresent((value) -> node.put("id", value));
		this.retryAfterMillis.ifPresent((value) -> node.put("retryAfterMillis", value));
		return node.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
	}

}
