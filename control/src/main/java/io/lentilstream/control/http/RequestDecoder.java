package io.lentilstream.control.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * A decoder of requests that knows how much memory it holds, and that limits the fields
 * of heads and trailers, each of which takes far more memory than the few bytes that it
 * may consist of.
 */
final class RequestDecoder extends HttpRequestDecoder {

	private static final int MAX_REQUEST_LINE_BYTES = 8192;

	private static final int MAX_HEADER_BYTES = 16_384;

	private static final int MAX_CHUNK_BYTES = 8192;

	/** The maximum number of fields of a head or trailer. */
	private static final int MAX_FIELDS = 100;

	/** The memory that a field takes beside its name and value, in bytes. */
	static final int FIELD_BYTES = 160;

	private final FieldCounter fields;

	RequestDecoder() {
		this(new FieldCounter());
	}

	private RequestDecoder(FieldCounter fields) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setHeadersFactory(fields)
			.setTrailersFactory(fields));
		this.fields = fields;
	}

	/**
	 * Returns about how much memory the bytes and fields take that are not part of a
	 * complete head or chunk yet, and the last head or trailer.
	 * @return the size in bytes
	 */
	int heldBytes() {
		return internalBuffer().capacity() + this.fields.bytes;
	}

	/**
	 * Creates the fields of heads and trailers, and counts those of the latest.
	 */
	private static final class FieldCounter implements HttpHeadersFactory {

		private int bytes;

		@Override
		public HttpHeaders newHeaders() {
			this.bytes = 0;
			return new LimitedFields(this);
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

	}

	/**
	 * Fields whose number is limited.
	 */
	private static final class LimitedFields extends DefaultHttpHeaders {

		private final FieldCounter counter;

		private int count;

		LimitedFields(FieldCounter counter) {
			this.counter = counter;
		}

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			count(name, value);
			return super.add(name, value);
		}

		@Override
		public HttpHeaders add(String name, Object value) {
			count(name, value);
			return super.add(name, value);
		}

		private void count(CharSequence name, Object value) {
			this.count++;
			if (this.count > MAX_FIELDS) {
				throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " fields");
			}
			this.counter.bytes += FIELD_BYTES + name.length()
					+ ((value instanceof CharSequence text) ? text.length() : 0);
		}

	}

}
