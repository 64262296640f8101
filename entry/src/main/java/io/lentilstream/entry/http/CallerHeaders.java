package io.lentilstream.entry.http;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.jooby.Context;

import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.Urgency;

/**
 * The request headers of callers and their parsing.
 */
final class CallerHeaders {

	static final String TIMEOUT = "Lentilstream-Timeout-Ms";

	static final String URGENCY = "Lentilstream-Urgency";

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Maximum timeout that a caller may request, in milliseconds.
	 */
	static final long MAX_TIMEOUT_MILLIS = 3_600_000;

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "host", "content-length", "keep-alive",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"traceparent", "accept-encoding", "lentilstream-request-id", "lentilstream-timeout-ms",
			"lentilstream-urgency");

	private CallerHeaders() {
	}

	static long timeoutMillis(Context context, long defaultMillis) throws BadRequestException {
		String text = context.header(TIMEOUT).valueOrNull();
		if (text == null) {
			return defaultMillis;
		}
		try {
			long millis = Long.parseLong(text);
			if (millis >= 1 && millis <= MAX_TIMEOUT_MILLIS) {
				return millis;
			}
		}
		catch (NumberFormatException ex) {
			throw new BadRequestException(HttpMessages.BAD_TIMEOUT.formatted(MAX_TIMEOUT_MILLIS));
		}
		throw new BadRequestException(HttpMessages.BAD_TIMEOUT.formatted(MAX_TIMEOUT_MILLIS));
	}

	static Urgency urgency(Context context, Urgency defaultUrgency) throws BadRequestException {
		String text = context.header(URGENCY).valueOrNull();
		if (text == null) {
			return defaultUrgency;
		}
		for (Urgency urgency : Urgency.values()) {
			if (urgency.name().toLowerCase(Locale.ROOT).equals(text)) {
				return urgency;
			}
		}
		throw new BadRequestException(HttpMessages.BAD_URGENCY);
	}

	static Optional<IdempotencyKey> idempotencyKey(Context context) throws BadRequestException {
		String text = context.header(IDEMPOTENCY_KEY).valueOrNull();
		if (text == null) {
			return Optional.empty();
		}
		if (!Identifiers.isValid(text)) {
			throw new BadRequestException(HttpMessages.MISSING_KEY);
		}
		return Optional.of(new IdempotencyKey(text));
	}

	static Map<String, String> forwardedHeaders(Context context, String traceparent) {
		Map<String, String> headers = new HashMap<>();
		context.headerMap().forEach((name, value) -> {
			String lowerCaseName = name.toLowerCase(Locale.ROOT);
			if (!NOT_FORWARDED.contains(lowerCaseName)) {
				headers.put(lowerCaseName, value);
			}
		});
		headers.put("traceparent", traceparent);
		return headers;
	}

}
