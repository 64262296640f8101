package io.lentilstream.standin;

import java.util.Optional;
import java.util.function.Function;

/**
 * Is a request to the stand-in.
 *
 * @param method the HTTP method
 * @param path the path without query
 * @param query returns a query parameter, or {@code null}
 * @param header returns a header, or {@code null}
 * @param body the body
 */
record StandinRequest(String method, String path, Function<String, String> query, Function<String, String> header,
		byte[] body) {

	Optional<String> parameter(String name) {
		return Optional.ofNullable(this.query.apply(name));
	}

	Optional<String> headerValue(String name) {
		return Optional.ofNullable(this.header.apply(name));
	}

	StandinRequest at(String otherPath) {
		return new StandinRequest(this.method, otherPath, this.query, this.header, this.body);
	}

}
