package io.lentilstream.standin;

import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.settings.process.SettingsResult;
import io.lentilstream.settings.process.StandinSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a demo platform that differs from the users' and against service times
 * that are not repeatable.
 */
class TopologyTests {

	@ParameterizedTest
	@CsvSource({ "steppe-hearth, 45, 6, 6", "nyabugogo, 32, 8, 7" })
	void hasTheVmsOfTheUsersExample(String user, int size, int racks, int entries) {
		StandinSettings settings = ((SettingsResult.Loaded<StandinSettings>) StandinSettings
			.load(Path.of("../examples", user, "standin.ini"))).settings();
		Topology topology = Topology.of(settings);
		assertThat(topology.workers()).hasSize(size);
		assertThat(topology.endpoints()).hasSize(size)
			.allSatisfy((endpoint) -> assertThat(endpoint.slots()).isEqualTo(8));
		assertThat(new HashSet<>(topology.workers().stream().map(Topology.WorkerVm::rack).toList())).hasSize(racks);
		assertThat(topology.entries()).hasSize(entries);
	}

	@Test
	void drawsRepeatableTimesWithinTheSpreadButForStragglers() {
		ServiceTimes times = new ServiceTimes(Duration.ofMillis(20), 0.5, 0.01, 50);
		List<Duration> drawn = draw(times);
		assertThat(draw(times)).isEqualTo(drawn);
		List<Duration> stragglers = drawn.stream().filter((time) -> time.compareTo(Duration.ofMillis(30)) > 0).toList();
		assertThat(stragglers).hasSizeBetween(50, 150)
			.allSatisfy((time) -> assertThat(time).isBetween(Duration.ofMillis(500), Duration.ofMillis(1_500)));
		assertThat(drawn).allSatisfy((time) -> assertThat(time).isGreaterThanOrEqualTo(Duration.ofMillis(10)));
	}

	private static List<Duration> draw(ServiceTimes times) {
		SplittableRandom random = new SplittableRandom(7);
		return Stream.generate(() -> times.draw(random)).limit(10_000).toList();
	}

}
