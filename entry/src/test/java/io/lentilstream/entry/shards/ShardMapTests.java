package io.lentilstream.entry.shards;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change of the mapping. If two versions mapped a VM to different
 * shards, two owners would commit its capacity.
 */
class ShardMapTests {

	@ParameterizedTest
	@CsvSource({ "worker-0, 7", "worker-1, 2", "worker-2, 5", "hills-a-worker-3, 2", "x, 0" })
	void mapsATextToTheSameIndexInEveryVersion(String text, int index) {
		assertThat(ShardMap.index(text, 8)).isEqualTo(index);
	}

	@Test
	void distributesTextsEvenly() {
		int[] counts = new int[8];
		for (int i = 0; i < 8_000; i++) {
			counts[ShardMap.index("worker-" + i, 8)]++;
		}
		assertThat(Arrays.stream(counts)).allMatch((count) -> count >= 850 && count <= 1_150);
	}

	@Test
	void distinguishesRequestShardsFromTaskShards() {
		ShardMap map = new ShardMap(new AvailabilityZoneId("z"), 8, "region", 4);
		assertThat(map.isTaskShard(new ShardId("z", 1))).isTrue();
		assertThat(map.isTaskShard(map.ofKey(new TeamId("t"), new IdempotencyKey("k")))).isFalse();
	}

}
