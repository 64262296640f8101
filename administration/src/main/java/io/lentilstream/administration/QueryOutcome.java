package io.lentilstream.administration;

/**
 * The outcome of a query for settings.
 *
 * @param <T> the type of the result
 */
public sealed interface QueryOutcome<T> {

	/**
	 * The query succeeded.
	 *
	 * @param <T> the type of the result
	 * @param result the result
	 */
	record Found<T>(T result) implements QueryOutcome<T> {
	}

	/**
	 * Nothing exists at the path, or the history does not reach back far enough.
	 *
	 * @param <T> the type of the result
	 * @param what a description of what is missing
	 */
	record NotFound<T>(String what) implements QueryOutcome<T> {
	}

	/**
	 * The key does not allow the query.
	 *
	 * @param <T> the type of the result
	 */
	record Forbidden<T>() implements QueryOutcome<T> {
	}

	/**
	 * The store is unavailable, or contains a document that cannot be read.
	 *
	 * @param <T> the type of the result
	 * @param reason a short reason
	 */
	record Unavailable<T>(String reason) implements QueryOutcome<T> {
	}

}
