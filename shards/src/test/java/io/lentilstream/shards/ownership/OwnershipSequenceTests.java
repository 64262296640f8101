package io.lentilstream.shards.ownership;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against fault sequences after which two entry VMs may commit in one shard, an
 * epoch does not increase, or a shard stays without an owner.
 */
class OwnershipSequenceTests {

	@Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void hasOneValidOwnerPerShardUnderFaults(@ForAll("events") List<Event> events) {
		OwnershipCluster cluster = new OwnershipCluster(4);
		cluster.start("a", 1);
		// The safety margin of 1 s in 10 s covers clocks that run 4% slow or fast.
		cluster.start("b", 0.96);
		cluster.start("c", 1.04);
		int restarts = 0;
		for (Event event : events) {
			String name = List.copyOf(cluster.vms.keySet()).get(event.vm());
			OwnershipCluster.Vm vm = cluster.vms.get(name);
			if (event.fault() == Fault.REPLACE) {
				cluster.vms.remove(name);
				cluster.start(name.substring(0, 1) + ++restarts, vm.clockRate());
			}
			event.fault().apply(vm);
			cluster.run(event.millis());
		}
		cluster.vms.values().forEach((vm) -> {
			vm.paused = false;
			vm.disconnected = false;
			vm.replyDelayMillis = 0;
		});
		cluster.start("z", 1);
		cluster.run(120_000);
		assertThat(cluster.ownedInTotal()).isEqualTo(4);
	}

	@Provide
	Arbitrary<List<Event>> events() {
		return Combinators
			.combine(Arbitraries.of(Fault.class), Arbitraries.integers().between(0, 2),
					Arbitraries.of(100, 1_000, 3_000, 9_500, 12_000, 20_000))
			.as(Event::new)
			.list()
			.ofMinSize(5)
			.ofMaxSize(25);
	}

	enum Fault {

		NONE, REPLACE, PAUSE, RESUME, DISCONNECT, RECONNECT, LOSE_REPLY, LOSE_WRITE, SLOW_STORE, FAST_STORE, SHUT_DOWN;

		void apply(OwnershipCluster.Vm vm) {
			if (this == PAUSE || this == RESUME) {
				vm.paused = this == PAUSE;
			}
			else if (this == DISCONNECT || this == RECONNECT) {
				vm.disconnected = this == DISCONNECT;
			}
			else if (this == SLOW_STORE || this == FAST_STORE) {
				vm.replyDelayMillis = (this == SLOW_STORE) ? 1_500 : 0;
			}
			else if (this == SHUT_DOWN) {
				vm.perform(vm.ownership.shutdown(vm.time()));
			}
			vm.loseNextReply |= this == LOSE_REPLY;
			vm.loseNextWrite |= this == LOSE_WRITE;
		}

	}

	record Event(Fault fault, int vm, int millis) {
	}

}
