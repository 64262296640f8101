package io.lentilstream.standin;

import java.util.function.Consumer;
import java.util.function.Function;

import io.lentilstream.clients.http.PlatformMessages.ErrorAnswer;
import io.lentilstream.model.Identifiers;

/**
 * Passes a request on by the first part of its path, which is then removed.
 */
final class StandinRouter implements RequestHandler {

	private final Function<String, RequestHandler> handlers;

	/**
	 * Creates a router.
	 * @param handlers returns the handler of the first part of a path, or {@code null}
	 */
	StandinRouter(Function<String, RequestHandler> handlers) {
		this.handlers = handlers;
	}

	@Override
	public void handle(StandinRequest request, Consumer<Reply> answer) {
		String path = request.path();
		int end = path.indexOf('/', 1);
		String first = path.substring(1, (end > 0) ? end : path.length());
		RequestHandler handler = Identifiers.isValid(first) ? this.handlers.apply(first) : null;
		if (handler == null) {
			answer.accept(notFound());
			return;
		}
		handler.handle(request.at((end > 0) ? path.substring(end) : "/"), answer);
	}

	static Reply notFound() {
		return Reply.json(400, new ErrorAnswer(false, "no such path"));
	}

	static Reply badRequest() {
		return Reply.json(400, new ErrorAnswer(false, "malformed message"));
	}

}
