package io.lentilstream.standin;

import java.util.function.Consumer;

/**
 * Answers requests, now or later, or never.
 */
@FunctionalInterface
interface RequestHandler {

	/**
	 * Answers a request.
	 * @param request the request
	 * @param answer takes the answer at most once
	 */
	void handle(StandinRequest request, Consumer<Reply> answer);

}
