package io.lentilstream.control;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Pauses a listening channel that cannot accept connections, such as when there are no
 * free file descriptors. Netty's own handler logs a warning as well, and the formatter of
 * the JDK's logging opens files itself.
 */
@ChannelHandler.Sharable
public final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {

	/** Time until connections are accepted again, in milliseconds. */
	private static final long PAUSE_MILLIS = 1000;

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		FatalErrors.haltIfFatal(cause);
		context.channel().config().setAutoRead(false);
		context.channel()
			.eventLoop()
			.schedule(() -> context.channel().config().setAutoRead(true), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
	}

}
