package io.lentilstream.membership;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.Revision;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerMessage.Bytes;
import io.lentilstream.wire.PeerMessage.Document;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against settings that go back, stay behind after a fault, or come from an
 * incomplete set.
 */
class SettingsReplicaTests {

	private static final StoreKey BAKERY = new StoreKey("/teams/bakery");

	private static final VmId A0 = new VmId("entry-a0");

	@Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
	void neverGoesBackAndConvergesAfterHealing(@ForAll long seed,
			@ForAll @Size(max = 40) List<@IntRange(max = 12) Integer> steps) {
		Cluster cluster = new Cluster(seed, 3, 2);
		cluster.run(2_000);
		for (int step : steps) {
			play(cluster, step);
			cluster.run(cluster.random.nextInt(4_000));
		}
		cluster.heal();
		cluster.run(30_000);
		assertConverged(cluster);
	}

	@ParameterizedTest
	@MethodSource("faults")
	void catchesUpAfterAFault(String fault, Consumer<Cluster> course, int millisAfterwards) {
		Cluster cluster = new Cluster(7, 3, 2);
		cluster.run(5_000);
		cluster.accept("bakery");
		cluster.run(2_000);
		assertConverged(cluster);
		course.accept(cluster);
		cluster.run(millisAfterwards);
		assertConverged(cluster);
	}

	static Stream<Arguments> faults() {
		return Stream.of(row("none", (cluster) -> cluster.accept("bakery"), 200),
				row("store outage of 10 min", (cluster) -> {
					cluster.storeDown = true;
					cluster.run(600_000);
					cluster.heal();
					cluster.accept("bakery");
				}, 3_000), row("watch that misses an event at one watcher", (cluster) -> {
					cluster.missNextEvent = true;
					cluster.accept("bakery");
				}, 4_000), row("compacted store", (cluster) -> {
					cluster.storeDown = true;
					cluster.run(5_000);
					cluster.heal();
					cluster.accept("bakery");
					cluster.compact();
				}, 3_000), row("stale read after an outage", (cluster) -> {
					cluster.accept("bakery");
					cluster.run(2_000);
					cluster.staleLists = true;
					cluster.compact();
					cluster.accept("bakery");
				}, 4_000), row("one zone without the store", (cluster) -> {
					cluster.cutOneWay("zone-a", "store");
					cluster.accept("bakery");
				}, 1_000), row("first watcher without the store", (cluster) -> {
					cluster.cutOneWay("entry-a0", "store");
					cluster.accept("bakery");
				}, 1_000), row("partition between zones, both reach the store", (cluster) -> {
					cluster.cutBothWays("zone-a", "zone-b");
					cluster.accept("bakery");
				}, 3_000), row("partition in one direction", (cluster) -> {
					cluster.cutOneWay("zone-a", "zone-b");
					cluster.accept("bakery");
				}, 3_000), row("partition from the store and from the other zone", (cluster) -> {
					cluster.cutOneWay("zone-b", "store");
					cluster.cutBothWays("zone-a", "zone-b");
					cluster.accept("bakery");
					cluster.run(20_000);
					cluster.heal();
				}, 3_000), row("first watcher restarts", (cluster) -> {
					cluster.nodes.get(A0).start();
					cluster.accept("bakery");
				}, 4_000), row("a third of all messages lost", (cluster) -> {
					cluster.loss = 0.3;
					cluster.accept("bakery");
				}, 10_000));
	}

	@Test
	void isNotReadyWithoutTheStoreAndWithoutPeers() {
		Cluster cluster = new Cluster(8, 2, 1);
		cluster.accept("bakery");
		cluster.storeDown = true;
		cluster.run(60_000);
		assertThat(cluster.nodes.values()).noneMatch((node) -> node.replica.isReady());
		cluster.heal();
		cluster.run(3_000);
		assertThat(cluster.nodes.values()).allMatch((node) -> node.replica.isReady());
		assertConverged(cluster);
	}

	@Test
	void startsFromPeersWithTheHighestRevisionOfEachDocument() {
		Cluster cluster = new Cluster(9, 3, 2);
		cluster.run(5_000);
		cluster.accept("bakery");
		cluster.accept("cafe");
		cluster.run(5_000);
		cluster.storeDown = true;
		cluster.nodes.get(A0).start();
		assertThat(cluster.nodes.get(A0).replica.isReady()).isFalse();
		cluster.run(10_000);
		assertThat(cluster.nodes.get(A0).replica.isReady()).isTrue();
		assertConverged(cluster);
	}

	@Test
	void isNotReadyBeforeEveryReadyPeerGaveItsDocuments() {
		Cluster cluster = new Cluster(15, 3, 2);
		cluster.accept("bakery");
		cluster.run(5_000);
		cluster.storeDown = true;
		cluster.loseDocuments = true;
		cluster.nodes.get(A0).start();
		cluster.run(10_000);
		assertThat(cluster.nodes.get(A0).replica.isReady()).isFalse();
		cluster.loseDocuments = false;
		cluster.run(5_000);
		assertThat(cluster.nodes.get(A0).replica.isReady()).isTrue();
		assertConverged(cluster);
	}

	@Test
	void keepsTheDocumentInForceIfTheNextOneCannotBeRead() {
		Cluster cluster = new Cluster(10, 1);
		cluster.accept("bakery");
		cluster.run(2_000);
		SettingsReplica replica = cluster.nodes.get(A0).replica;
		Bytes damaged = new Bytes("{".getBytes(StandardCharsets.UTF_8));
		assertThat(replica.documentReceived(null, new VmId("x"), new Document(BAKERY.path(), new Revision(9), damaged)))
			.containsExactly(new MembershipAction.DocumentRefused(BAKERY, "x"));
		assertThat(replica.revisionOf(BAKERY)).isEqualTo(new Revision(1));
	}

	@Test
	void reportsWhichVmsHaveARevisionInForce() {
		Cluster cluster = new Cluster(11, 3, 2);
		cluster.accept("bakery");
		cluster.run(8_000);
		SettingsReplica replica = cluster.nodes.get(A0).replica;
		assertThat(replica.inForce(BAKERY, new Revision(1)).inForce()).hasSize(5);
		cluster.cutOneWay("zone-b", "store");
		cluster.cutBothWays("zone-a", "zone-b");
		cluster.run(500);
		cluster.accept("bakery");
		cluster.run(5_000);
		InForceReport report = replica.inForce(BAKERY, new Revision(2));
		assertThat(report.inForce()).containsExactlyInAnyOrder(A0, new VmId("entry-a1"), new VmId("entry-a2"));
		assertThat(report.behind()).containsExactlyInAnyOrder(new VmId("entry-b0"), new VmId("entry-b1"));
	}

	@Test
	void usesTheStoreFromTwoVmsOfAZoneOnly() {
		Cluster cluster = new Cluster(12, 5);
		cluster.run(5_000);
		cluster.nodes.values().forEach((node) -> node.calls.clear());
		cluster.run(300_000);
		Map<Boolean, Long> callers = cluster.nodes.values()
			.stream()
			.collect(Collectors.partitioningBy((node) -> node.calls.isEmpty(), Collectors.counting()));
		assertThat(callers).isEqualTo(Map.of(true, 3L, false, 2L));
	}

	@Test
	void limitsTheRateOfWatches() {
		Cluster cluster = new Cluster(13, 1);
		cluster.run(5_000);
		Cluster.Node node = cluster.nodes.get(A0);
		node.calls.clear();
		for (int i = 0; i < 500; i++) {
			cluster.accept("bakery");
			cluster.run(20);
		}
		assertThat(node.calls).hasSizeBetween(40, 51);
	}

	@Test
	void callsTheStoreAtABoundedRateDuringAnOutage() {
		Cluster cluster = new Cluster(14, 1);
		cluster.run(5_000);
		cluster.storeDown = true;
		Cluster.Node node = cluster.nodes.get(A0);
		cluster.run(60_000);
		node.calls.clear();
		cluster.run(60_000);
		assertThat(node.calls).hasSizeBetween(120, 240);
	}

	private static void play(Cluster cluster, int step) {
		List<Cluster.Node> nodes = List.copyOf(cluster.nodes.values());
		Cluster.Node node = nodes.get(cluster.random.nextInt(nodes.size()));
		Cluster.Node other = nodes.get(cluster.random.nextInt(nodes.size()));
		switch (step) {
			case 0 -> node.start();
			case 1 -> cluster.cutBothWays("zone-a", "zone-b");
			case 2 -> cluster.cutOneWay(node.zone.value(), other.zone.value());
			case 3 -> cluster.cutOneWay(node.vm.value(), other.vm.value());
			case 4 -> cluster.cutOneWay(node.zone.value(), "store");
			case 5 -> {
				cluster.storeDown = !cluster.storeDown;
			}
			case 6 -> {
				cluster.loss = 0.3;
			}
			case 7 -> {
				cluster.missNextEvent = true;
			}
			case 8 -> {
				cluster.staleLists = true;
			}
			case 9 -> cluster.compact();
			case 10 -> cluster.heal();
			default -> cluster.accept("team" + cluster.random.nextInt(4));
		}
	}

	private static void assertConverged(Cluster cluster) {
		for (Cluster.Node node : cluster.nodes.values()) {
			assertThat(node.regressions).isEmpty();
			cluster.accepted
				.forEach((key, revision) -> assertThat(node.replica.revisionOf(key).value()).as(node.vm + " " + key)
					.isEqualTo(revision));
		}
	}

	private static Arguments row(String fault, Consumer<Cluster> course, int millisAfterwards) {
		return Arguments.of(fault, course, millisAfterwards);
	}

}
