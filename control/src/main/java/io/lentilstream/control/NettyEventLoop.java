package io.lentilstream.control;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;

/**
 * An event loop that runs on Netty's.
 */
public final class NettyEventLoop implements EventLoop {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final EventLoopGroup group;

	/**
	 * Creates an event loop.
	 * @param group a group with one thread
	 */
	public NettyEventLoop(EventLoopGroup group) {
		this.group = group;
	}

	@Override
	public long now() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

	@Override
	public long wallClockMillis() {
		return System.currentTimeMillis();
	}

	@Override
	public Runnable schedule(long millis, Runnable task) {
		// Otherwise the future would keep the error, and a periodic task would just end.
		Future<?> future = this.group.schedule(() -> FatalErrors.runChecked(task), millis, TimeUnit.MILLISECONDS);
		return () -> future.cancel(false);
	}

}
