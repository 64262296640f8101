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
 * Guards against settings that return to an earlier revision, stay outdated after a
 * fault, or come from an incomplete set.
 */
class SettingsReplicaTests {

	private static final StoreKey BAKERY = new StoreKey("/teams/bakery");

	private static final VmId A0 = new VmId("entry-a0");

	@Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
	void neverRevertsADocumentAndConvergesAfterTheFaultsEnd(@ForAll long seed,
			@ForAll @Size(max = 40) List<@IntRange(max = 12) Integer> steps) {
		Cluster cluster = new Cluster(seed, 3, 2);
		cluster.advance(2_000);
		for (int step : steps) {
			applyStep(cluster, step);
			cluster.advance(cluster.random.nextInt(4_000));
		}
		cluster.endFaults();
		cluster.advance(30_000);
		assertConverged(cluster);
	}

	@ParameterizedTest
	@MethodSource("faults")
	void catchesUpAfterAFault(String fault, Consumer<Cluster> scenario, int recoveryMillis) {
		Cluster cluster = new Cluster(7, 3, 2);
		cluster.advance(5_000);
		cluster.writeDocument("bakery");
		cluster.advance(2_000);
		assertConverged(cluster);
		scenario.accept(cluster);
		cluster.advance(recoveryMillis);
		assertConverged(cluster);
	}

	static Stream<Arguments> faults() {
		return Stream.of(row("none", (cluster) -> cluster.writeDocument("bakery"), 200),
				row("store outage of 10 min", (cluster) -> {
					cluster.storeDown = true;
					cluster.advance(600_000);
					cluster.endFaults();
					cluster.writeDocument("bakery");
				}, 3_000), row("watch that misses an event at one watcher", (cluster) -> {
					cluster.skipNextEvent = true;
					cluster.writeDocument("bakery");
				}, 4_000), row("compacted store", (cluster) -> {
					cluster.storeDown = true;
					cluster.advance(5_000);
					cluster.endFaults();
					cluster.writeDocument("bakery");
					cluster.compact();
				}, 3_000), row("stale read after an outage", (cluster) -> {
					cluster.writeDocument("bakery");
					cluster.advance(2_000);
					cluster.staleLists = true;
					cluster.compact();
					cluster.writeDocument("bakery");
				}, 4_000), row("one zone cannot reach the store", (cluster) -> {
					cluster.blockOneWay("zone-a", "store");
					cluster.writeDocument("bakery");
				}, 1_000), row("first watcher cannot reach the store", (cluster) -> {
					cluster.blockOneWay("entry-a0", "store");
					cluster.writeDocument("bakery");
				}, 1_000), row("partition between zones that both reach the store", (cluster) -> {
					cluster.blockBothWays("zone-a", "zone-b");
					cluster.writeDocument("bakery");
				}, 3_000), row("partition in one direction", (cluster) -> {
					cluster.blockOneWay("zone-a", "zone-b");
					cluster.writeDocument("bakery");
				}, 3_000), row("partition from the store and from the other zone", (cluster) -> {
					cluster.blockOneWay("zone-b", "store");
					cluster.blockBothWays("zone-a", "zone-b");
					cluster.writeDocument("bakery");
					cluster.advance(20_000);
					cluster.endFaults();
				}, 3_000), row("first watcher restarts", (cluster) -> {
					cluster.nodes.get(A0).start();
					cluster.writeDocument("bakery");
				}, 4_000), row("a third of all messages lost", (cluster) -> {
					cluster.lossRate = 0.3;
					cluster.writeDocument("bakery");
				}, 10_000));
	}

	@Test
	void isNotReadyWithoutTheStoreAndWithoutPeers() {
		Cluster cluster = new Cluster(8, 2, 1);
		cluster.writeDocument("bakery");
		cluster.storeDown = true;
		cluster.advance(60_000);
		assertThat(cluster.nodes.values()).noneMatch((node) -> node.replica.isReady());
		cluster.endFaults();
		cluster.advance(3_000);
		assertThat(cluster.nodes.values()).allMatch((node) -> node.replica.isReady());
		assertConverged(cluster);
	}

	@Test
	void startsFromPeersWithTheHighestRevisionOfEachDocument() {
		Cluster cluster = new Cluster(9, 3, 2);
		cluster.advance(5_000);
		cluster.writeDocument("bakery");
		cluster.writeDocument("cafe");
		cluster.advance(5_000);
		cluster.storeDown = true;
		cluster.nodes.get(A0).start();
		assertThat(cluster.nodes.get(A0).replica.isReady()).isFalse();
		cluster.advance(10_000);
		assertThat(cluster.nodes.get(A0).replica.isReady()).isTrue();
		assertConverged(cluster);
	}

	@Test
	void isNotReadyBeforeEveryReadyPeerHasSentItsDocuments() {
		Cluster cluster = new Cluster(15, 3, 2);
		cluster.writeDocument("bakery");
		cluster.advance(5_000);
		cluster.storeDown = true;
		cluster.dropDocuments = true;
		cluster.nodes.get(A0).start();
		cluster.advance(10_000);
		assertThat(cluster.nodes.get(A0).replica.isReady()).isFalse();
		cluster.dropDocuments = false;
		cluster.advance(5_000);
		assertThat(cluster.nodes.get(A0).replica.isReady()).isTrue();
		assertConverged(cluster);
	}

	@Test
	void keepsTheDocumentInForceIfTheNextOneCannotBeParsed() {
		Cluster cluster = new Cluster(10, 1);
		cluster.writeDocument("bakery");
		cluster.advance(2_000);
		SettingsReplica replica = cluster.nodes.get(A0).replica;
		Bytes damaged = new Bytes("{".getBytes(StandardCharsets.UTF_8));
		assertThat(replica.documentReceived(null, new VmId("x"), new Document(BAKERY.path(), new Revision(9), damaged)))
			.containsExactly(new MembershipAction.DocumentRefused(BAKERY, "x"));
		assertThat(replica.revisionOf(BAKERY)).isEqualTo(new Revision(1));
	}

	@Test
	void reportsWhichVmsHaveARevisionInForce() {
		Cluster cluster = new Cluster(11, 3, 2);
		cluster.writeDocument("bakery");
		cluster.advance(8_000);
		SettingsReplica replica = cluster.nodes.get(A0).replica;
		assertThat(replica.inForce(BAKERY, new Revision(1)).inForce()).hasSize(5);
		cluster.blockOneWay("zone-b", "store");
		cluster.blockBothWays("zone-a", "zone-b");
		cluster.advance(500);
		cluster.writeDocument("bakery");
		cluster.advance(5_000);
		InForceReport report = replica.inForce(BAKERY, new Revision(2));
		assertThat(report.inForce()).containsExactlyInAnyOrder(A0, new VmId("entry-a1"), new VmId("entry-a2"));
		assertThat(report.behind()).containsExactlyInAnyOrder(new VmId("entry-b0"), new VmId("entry-b1"));
	}

	@Test
	void callsTheStoreFromOnlyTwoVmsOfAZone() {
		Cluster cluster = new Cluster(12, 5);
		cluster.advance(5_000);
		cluster.nodes.values().forEach((node) -> node.calls.clear());
		cluster.advance(300_000);
		Map<Boolean, Long> callers = cluster.nodes.values()
			.stream()
			.collect(Collectors.partitioningBy((node) -> node.calls.isEmpty(), Collectors.counting()));
		assertThat(callers).isEqualTo(Map.of(true, 3L, false, 2L));
	}

	@Test
	void limitsTheRateOfWatches() {
		Cluster cluster = new Cluster(13, 1);
		cluster.advance(5_000);
		Cluster.Node node = cluster.nodes.get(A0);
		node.calls.clear();
		for (int i = 0; i < 500; i++) {
			cluster.writeDocument("bakery");
			cluster.advance(20);
		}
		assertThat(node.calls).hasSizeBetween(40, 51);
	}

	@Test
	void limitsTheRateOfStoreCallsDuringAnOutage() {
		Cluster cluster = new Cluster(14, 1);
		cluster.advance(5_000);
		cluster.storeDown = true;
		Cluster.Node node = cluster.nodes.get(A0);
		cluster.advance(60_000);
		node.calls.clear();
		cluster.advance(60_000);
		assertThat(node.calls).hasSizeBetween(120, 240);
	}

	private static void applyStep(Cluster cluster, int step) {
		List<Cluster.Node> nodes = List.copyOf(cluster.nodes.values());
		Cluster.Node node = nodes.get(cluster.random.nextInt(nodes.size()));
		Cluster.Node other = nodes.get(cluster.random.nextInt(nodes.size()));
		switch (step) {
			case 0 -> node.start();
			case 1 -> cluster.blockBothWays("zone-a", "zone-b");
			case 2 -> cluster.blockOneWay(node.zone.value(), other.zone.value());
			case 3 -> cluster.blockOneWay(node.vm.value(), other.vm.value());
			case 4 -> cluster.blockOneWay(node.zone.value(), "store");
			case 5 -> {
				cluster.storeDown = !cluster.storeDown;
			}
			case 6 -> {
				cluster.lossRate = 0.3;
			}
			case 7 -> {
				cluster.skipNextEvent = true;
			}
			case 8 -> {
				cluster.staleLists = true;
			}
			case 9 -> cluster.compact();
			case 10 -> cluster.endFaults();
			default -> cluster.writeDocument("team" + cluster.random.nextInt(4));
		}
	}

	private static void assertConverged(Cluster cluster) {
		for (Cluster.Node node : cluster.nodes.values()) {
			assertThat(node.regressions).isEmpty();
			cluster.writtenRevisions
				.forEach((key, revision) -> assertThat(node.replica.revisionOf(key).value()).as(node.vm + " " + key)
					.isEqualTo(revision));
		}
	}

	private static Arguments row(String fault, Consumer<Cluster> scenario, int recoveryMillis) {
		return Arguments.of(fault, scenario, recoveryMillis);
	}

}
