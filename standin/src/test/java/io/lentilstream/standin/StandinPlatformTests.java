package io.lentilstream.standin;

import java.io.UncheckedIOException;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against two stand-ins that share a port and split its connections.
 */
class StandinPlatformTests {

	@Test
	void refusesAPortInUse() {
		try (StandinFixture fixture = new StandinFixture()) {
			StandinPlatform second = new StandinPlatform(Topology.EMPTY, MonotonicClock.system(), "127.0.0.1",
					fixture.platform.port());
			assertThatExceptionOfType(UncheckedIOException.class).isThrownBy(second::start)
				.withMessageContaining("cannot listen on 127.0.0.1");
		}
	}

}
