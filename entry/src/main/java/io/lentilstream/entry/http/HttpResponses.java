package io.lentilstream.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;

import io.lentilstream.model.RequestOutcome;

/**
 * The writing of HTTP responses to callers and operators.
 */
final class HttpResponses {

	static final String JSON = "application/json";

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private HttpResponses() {
	}

	static Context send(Context context, RequestOutcome outcome) {
		if (outcome instanceof RequestOutcome.Answered answer) {
			return send(context, answer.status(), answer.contentType(), answer.body());
		}
		if (outcome instanceof RequestOutcome.Accepted accepted) {
			context.setResponseHeader("Location", context.getRequestPath() + "/" + accepted.key().value());
			return sendJson(context, 202, MAPPER.createObjectNode().put("key", accepted.key().value()));
		}
		if (outcome instanceof RequestOutcome.NotRun notRun) {
			return send(context, ProblemDetails.notRun(notRun.reason(), notRun.retryAfterMillis()));
		}
		return send(context, ProblemDetails.unknown(((RequestOutcome.Unknown) outcome).id()));
	}

	static Context send(Context context, ProblemDetails problem) {
		problem.retryAfterMillis()
			.ifPresent((millis) -> context.setResponseHeader("Retry-After",
					Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
		return send(context, problem.status(), ProblemDetails.MEDIA_TYPE, problem.toJson());
	}

	static Context sendJson(Context context, int status, Object body) {
		try {
			return send(context, status, JSON, MAPPER.writeValueAsBytes(body));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize the response as JSON", ex);
		}
	}

	static Context send(Context context, int status, String contentType, byte[] body) {
		context.setResponseCode(status);
		context.setResponseType(contentType);
		return context.send(body);
	}

}
