package io.lentilstream.control.http;

import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A request that has been received and not answered.
 */
final class ReceivedRequest {

	/** The memory that a request takes beside its head and body, in bytes. */
	private static final int OBJECT_BYTES = 512;

	/**
	 * The memory that handling a request takes at most for each byte of its body: the
	 * decoded job, its encoded form, and the commit that stores it.
	 */
	private static final int HANDLING_FACTOR = 8;

	private final boolean keepAlive;

	private final HttpHandler.Response refusal;

	private final long receivedAtNanos;

	private HttpHandler.Request content;

	private boolean abandoned;

	private ReceivedRequest(HttpHandler.Request content, boolean keepAlive, HttpHandler.Response refusal,
			long receivedAtNanos) {
		this.content = content;
		this.keepAlive = keepAlive;
		this.refusal = refusal;
		this.receivedAtNanos = receivedAtNanos;
	}

	static ReceivedRequest complete(HttpRequest head, byte[] body) {
		return new ReceivedRequest(new HttpHandler.Request(head.method(), head.uri(), head.headers(), body),
				HttpUtil.isKeepAlive(head), null, System.nanoTime());
	}

	/**
	 * Creates a request that is answered without being handled, and is the last of its
	 * connection.
	 * @param head the head
	 * @param response the response
	 * @return the request
	 */
	static ReceivedRequest refused(HttpRequest head, HttpHandler.Response response) {
		return new ReceivedRequest(withoutContent(head.method(), head.uri()), false, response, System.nanoTime());
	}

	private static HttpHandler.Request withoutContent(HttpMethod method, String uri) {
		return new HttpHandler.Request(method, uri, EmptyHttpHeaders.INSTANCE, new byte[0]);
	}

	/**
	 * Returns this request as one that is not handled.
	 * @param response the response to it
	 * @param last whether it is the last of its connection
	 * @return the refused request
	 */
	ReceivedRequest refused(HttpHandler.Response response, boolean last) {
		return new ReceivedRequest(withoutContent(this.content.method(), this.content.uri()), this.keepAlive && !last,
				(this.refusal != null) ? this.refusal : response, this.receivedAtNanos);
	}

	HttpHandler.Request content() {
		return this.content;
	}

	/**
	 * Forgets headers and body, which the handler has decoded.
	 */
	void releaseContent() {
		this.content = withoutContent(this.content.method(), this.content.uri());
	}

	boolean keepAlive() {
		return this.keepAlive;
	}

	/**
	 * Returns the response to a request that is not handled.
	 * @return the response; empty if the request is valid
	 */
	Optional<HttpHandler.Response> refusal() {
		return Optional.ofNullable(this.refusal);
	}

	/**
	 * Returns when the request was received.
	 * @return the time of {@link System#nanoTime}
	 */
	long receivedAtNanos() {
		return this.receivedAtNanos;
	}

	/**
	 * Returns about how much memory the request takes.
	 * @return the size in bytes
	 */
	int size() {
		int length = OBJECT_BYTES + this.content.uri().length() + this.content.body().length;
		for (Map.Entry<String, String> header : this.content.headers()) {
			length += RequestDecoder.FIELD_BYTES + header.getKey().length() + header.getValue().length();
		}
		return length;
	}

	/**
	 * Returns about how much memory is needed to handle the request.
	 * @return the size in bytes
	 */
	long handlingBytes() {
		return size() + (long) HANDLING_FACTOR * this.content.body().length;
	}

	String description() {
		return this.content.method() + " " + this.content.uri();
	}

	/**
	 * Marks the request as answered without its handler, whose response is ignored.
	 */
	void abandon() {
		this.abandoned = true;
	}

	boolean abandoned() {
		return this.abandoned;
	}

}
