package io.lentilstream.standin;

import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ForkJoinPool;

import io.jooby.Context;
import io.jooby.MediaType;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.FastThreadLocalThread;

/**
 * Writes answers to connections, also broken ones. Jooby offers no way to close a
 * connection early, so this class takes the Netty channel out of Jooby's context.
 */
final class ReplyWriter {

	private ReplyWriter() {
	}

	static void write(Context context, Reply reply) {
		if (reply.delivery() == Reply.Delivery.WHOLE) {
			writeWhole(context, reply);
			return;
		}
		ChannelHandlerContext channel = channelOf(context);
		if (reply.delivery() == Reply.Delivery.CLOSED) {
			channel.close();
			return;
		}
		// The first context writes past the HTTP encoder, which would refuse raw bytes.
		ChannelHandlerContext first = channel.pipeline().firstContext();
		if (first == null) {
			// The caller closed the connection while the request ran.
			return;
		}
		ByteBuf bytes = bytesOf(reply);
		if (reply.delivery() == Reply.Delivery.TWICE) {
			first.writeAndFlush(Unpooled.wrappedBuffer(bytes, bytes.retainedDuplicate()));
			return;
		}
		first.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE);
	}

	private static void writeWhole(Context context, Reply reply) {
		context.setResponseCode(reply.status());
		reply.headers().forEach(context::setResponseHeader);
		context.setResponseType(MediaType.valueOf(reply.contentType()));
		if (Thread.currentThread() instanceof FastThreadLocalThread) {
			// On an event loop, Jooby flushes an answer only at the end of a read of its
			// own
			// connection; the answer of a waiting watch comes from a write on another
			// one.
			ForkJoinPool.commonPool().execute(() -> context.send(reply.body()));
			return;
		}
		context.send(reply.body());
	}

	private static ByteBuf bytesOf(Reply reply) {
		boolean chunked = reply.delivery() == Reply.Delivery.CLOSED_IN_CHUNKS;
		int length = reply.body().length;
		StringBuilder head = new StringBuilder("HTTP/1.1 " + reply.status() + " Status\r\n");
		for (Map.Entry<String, String> header : reply.headers().entrySet()) {
			head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
		}
		head.append("Content-Type: ").append(reply.contentType()).append("\r\n");
		head.append(chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n");
		head.append("\r\n");
		if (chunked) {
			head.append(Integer.toHexString(length)).append("\r\n");
		}
		ByteBuf body = Unpooled.wrappedBuffer(reply.body());
		if (reply.delivery() == Reply.Delivery.CLOSED_IN_BODY) {
			body = body.slice(0, length / 2);
		}
		ByteBuf headBytes = Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII);
		return Unpooled.wrappedBuffer(headBytes, body,
				Unpooled.copiedBuffer(chunked ? "\r\n" : "", StandardCharsets.US_ASCII));
	}

	private static ChannelHandlerContext channelOf(Context context) {
		try {
			Field field = context.getClass().getDeclaredField("ctx");
			field.setAccessible(true);
			return (ChannelHandlerContext) field.get(context);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("Jooby's context does not hold a Netty channel any more", ex);
		}
	}

}
