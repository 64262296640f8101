package io.lentilstream.clients.http;

import java.util.Optional;

import okhttp3.Headers;

/**
 * Checks the headers of an answer before its body is read.
 */
@FunctionalInterface
interface AnswerCheck {

	/**
	 * Accepts every answer.
	 */
	AnswerCheck NONE = (headers) -> Optional.empty();

	/**
	 * Returns why the answer must not be used.
	 * @param headers the headers of the answer
	 * @return a short reason, or empty if the answer can be used
	 */
	Optional<String> refusal(Headers headers);

}
