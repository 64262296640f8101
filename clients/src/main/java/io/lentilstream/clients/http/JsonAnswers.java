package io.lentilstream.clients.http;

import java.util.Optional;
import java.util.function.Function;

/**
 * Reads the JSON body of a whole answer.
 */
final class JsonAnswers {

	static final int OK = 200;

	static final int NOT_FOUND = 404;

	static final int CONFLICT = 409;

	static final int GONE = 410;

	static final int UNPROCESSABLE = 422;

	private JsonAnswers() {
	}

	/**
	 * Reads and converts the body of an answer. A body that cannot be read or converted
	 * counts as a missing answer, because nothing may be concluded from it.
	 * @param <M> the type of the message
	 * @param <T> the type of the outcome
	 * @param whole the answer
	 * @param type the type of the message
	 * @param conversion converts the message
	 * @return the outcome, or empty if the body is no such message
	 */
	static <M, T> Optional<T> read(HttpResult.Whole whole, Class<M> type, Function<M, T> conversion) {
		try {
			return PlatformJson.read(whole.body(), type).map(conversion);
		}
		catch (IllegalArgumentException | NullPointerException ex) {
			return Optional.empty();
		}
	}

	static String unexpected(HttpResult.Whole whole) {
		return "unexpected answer with status " + whole.status();
	}

}
