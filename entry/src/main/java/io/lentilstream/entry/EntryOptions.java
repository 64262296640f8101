package io.lentilstream.entry;

import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.opentelemetry.sdk.trace.SpanProcessor;

import io.lentilstream.membership.MembershipTiming;
import io.lentilstream.model.MonotonicClock;

/**
 * The options of an entry daemon that do not come from its settings file.
 *
 * @param clock the monotonic clock
 * @param wallClockMillis the wall clock, in milliseconds since 1970 UTC; used only for
 * times shown to operators and for the incarnation number of the process
 * @param random the source of randomness
 * @param spans the processors of finished spans
 * @param membership the timing of heartbeats and failure detection
 * @param lameDuckMillis the time between the end of readiness and the refusal of new
 * requests, in which the load balancer removes this entry VM, in milliseconds
 * @param fatalErrorHandler handles an unexpected exception; it must stop the process
 */
public record EntryOptions(MonotonicClock clock, LongSupplier wallClockMillis, RandomGenerator random,
		SpanProcessor[] spans, MembershipTiming membership, long lameDuckMillis,
		Consumer<Throwable> fatalErrorHandler) {

	private static final long LAME_DUCK_MILLIS = 1_000;

	/**
	 * Returns the options of a daemon that runs in its own process.
	 * @param random the source of randomness; must be cryptographically strong
	 * @param fatalErrorHandler handles an unexpected exception; it must stop the process
	 * @return the options
	 */
	public static EntryOptions of(RandomGenerator random, Consumer<Throwable> fatalErrorHandler) {
		return new EntryOptions(MonotonicClock.system(), System::currentTimeMillis, random, new SpanProcessor[0],
				MembershipTiming.defaults(), LAME_DUCK_MILLIS, fatalErrorHandler);
	}

	/**
	 * Returns a new generator for scheduling decisions. Its seed is drawn from the source
	 * of randomness.
	 * @return a new generator
	 */
	RandomGenerator newGenerator() {
		return new Random(this.random.nextLong());
	}

}
