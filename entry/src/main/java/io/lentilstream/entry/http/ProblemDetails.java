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
 * The body of an error response, as defined by RFC 9457.
 *
 * @param type the last part of the problem type
 * @param status the HTTP status
 * @param title a short summary
 * @param detail an explanation specific to this occurrence
 * @param reason the reason why the request was not run; empty for other problems
 * @param id the id for a later query if the outcome is unknown
 * @param retryAfterMillis the delay after which to retry, in milliseconds
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
	 * Creates the problem of a request that no endpoint ran.
	 * @param reason the reason
	 * @param retryAfterMillis the delay after which to retry, in milliseconds; 0 if a
	 * retry is not useful
	 * @return the problem
	 */
	public static ProblemDetails notRun(NotRunReason reason, long retryAfterMillis) {
		int status = (reason == NotRunReason.OVER_QUOTA) ? 429 : 503;
		OptionalLong retry = (retryAfterMillis > 0) ? OptionalLong.of(retryAfterMillis) : OptionalLong.empty();
		return new ProblemDetails("not-run", status, "The request was not run", HttpMessages.describe(reason),
				Optional.of(reason), Optional.empty(), retry);
	}

	/**
	 * Creates the problem of a request that was sent and whose outcome is unknown.
	 * @param id the id for a later query
	 * @return the problem
	 */
	public static ProblemDetails unknown(RequestId id) {
		return new ProblemDetails("outcome-unknown", 504, "The outcome is unknown", HttpMessages.OUTCOME_UNKNOWN,
				Optional.empty(), Optional.of(id.value()), OptionalLong.empty());
	}

	/**
	 * Creates the problem of a malformed request.
	 * @param detail a description of the error
	 * @return the problem
	 */
	public static ProblemDetails badRequest(String detail) {
		return simple("bad-request", 400, "The request is not valid", detail);
	}

	/**
	 * Creates the problem of a resource that does not exist.
	 * @param detail a description of the missing resource
	 * @return the problem
	 */
	public static ProblemDetails notFound(String detail) {
		return simple("not-found", 404, "Not found", detail);
	}

	/**
	 * Creates the problem of an idempotency key that was used with another body.
	 * @param key the key
	 * @return the problem
	 */
	public static ProblemDetails keyConflict(IdempotencyKey key) {
		return simple("key-conflict", 409, "The key is in use", HttpMessages.KEY_CONFLICT.formatted(key.value()));
	}

	/**
	 * Creates a problem without reason, id and retry delay.
	 * @param type the last part of the problem type
	 * @param status the HTTP status
	 * @param title a short summary
	 * @param detail an explanation
	 * @return the problem
	 */
	public static ProblemDetails simple(String type, int status, String title, String detail) {
		return new ProblemDetails(type, status, title, detail, Optional.empty(), Optional.empty(),
				OptionalLong.empty());
	}

	/**
	 * Serializes the problem as JSON.
	 * @return the response body
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
