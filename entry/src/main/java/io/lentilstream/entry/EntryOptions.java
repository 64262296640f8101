package io.lentilstream.entry;

import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.opentelemetry.sdk.trace.SpanProcessor;

import io.lentilstream.membership.MembershipTiming;
import io.lentilstream.model.MonotonicClock;

/**
 * Holds what is passed into an entry daemon besides its settings.
 *
 * @param clock the monotonic clock
 * @param wallClockMillis the wall clock, in milliseconds since 1970 UTC; only names times
 * to people and numbers the runs of the daemon
 * @param random the source of randomness
 * @param spans what happens with finished spans
 * @param membership the intervals of membership
 * @param lameDuckMillis milliseconds between the end of readiness and the drain, in which
 * the balancer takes this entry VM out
 * @param fatalErrorHandler is told an exception that must stop the process
 */
public record EntryOptions(MonotonicClock clock, LongSupplier wallClockMillis, RandomGenerator random,
		SpanProcessor[] spans, MembershipTiming membership, long lameDuckMillis,
		Consumer<Throwable> fatalErrorHandler) {

	private static final long LAME_DUCK_MILLIS = 1_000;

	/**
	 * Returns the options of a process of its own.
	 * @param random the source of randomness; must be cryptographically strong
	 * @param fatalErrorHandler is told an exception that must stop the process
	 * @return the options
	 */
	public static EntryOptions of(RandomGenerator random, Consumer<Throwable> fatalErrorHandler) {
		return new EntryOptions(MonotonicClock.system(), System::currentTimeMillis, random, new SpanProcessor[0],
				MembershipTiming.defaults(), LAME_DUCK_MILLIS, fatalErrorHandler);
	}

	/**
	 * Returns a generator for decisions, seeded from the source of randomness.
	 * @return a new generator
	 */
	RandomGenerator newGenerator() {
		return new Random(this.random.nextLong());
	}

}
