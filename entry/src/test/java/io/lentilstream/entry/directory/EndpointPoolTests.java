package io.lentilstream.entry.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.entry.shards.ShardMap;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.RackId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.OwnedEndpoint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two entry VMs that fill the slots of one endpoint together.
 */
class EndpointPoolTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("z");

	private static final ShardId SHARD = new ShardId("z", 0);

	private final List<CompletableFuture<OptionalInt>> asked = new ArrayList<>();

	private Collection<OwnedEndpoint> owned = List.of();

	private final EndpointPool pool = new EndpointPool(new ShardMap(ZONE, 1, "r", 1), this::ask,
			(endpoints) -> this.owned = endpoints);

	private CompletableFuture<OptionalInt> ask(EndpointId endpoint) {
		this.asked.add(new CompletableFuture<>());
		return this.asked.get(this.asked.size() - 1);
	}

	private static VmEntry entry(VmEntry.Status status) {
		return new VmEntry(new VmId("e"), VmEntry.Role.ENDPOINT, status, ZONE, new RackId("r"), "h:1", Resources.NONE,
				Optional.of(new TeamId("t")), Optional.of(new ServiceName("s")), 8, 64);
	}

	@Test
	void usesNoEndpointOfAShardThatItDoesNotOwn() {
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		assertThat(this.owned).isEmpty();
	}

	@Test
	void asksForTheInFlightCountAfterATakeoverWithoutHandover() {
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.gained(SHARD, false);
		assertThat(this.owned).singleElement().matches((endpoint) -> endpoint.inheritedInFlight().isEmpty());
		this.asked.get(0).complete(OptionalInt.of(3));
		assertThat(this.owned).singleElement()
			.matches((endpoint) -> endpoint.inheritedInFlight().equals(OptionalInt.of(3)));
		assertThat(this.asked).hasSize(1);
	}

	@Test
	void asksAgainAtTheNextListIfTheEndpointDidNotAnswer() {
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.gained(SHARD, false);
		this.asked.get(0).complete(OptionalInt.empty());
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		assertThat(this.asked).hasSize(2);
	}

	@Test
	void usesAnEndpointAtOnceAfterAHandover() {
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.gained(SHARD, true);
		assertThat(this.owned).singleElement()
			.matches((endpoint) -> endpoint.inheritedInFlight().equals(OptionalInt.of(0)));
		assertThat(this.asked).isEmpty();
	}

	@Test
	void passesOnThatAnEndpointIsLeaving() {
		this.pool.gained(SHARD, true);
		this.pool.list(List.of(entry(VmEntry.Status.LEAVING)));
		assertThat(this.owned).singleElement().matches(OwnedEndpoint::leaving);
	}

	@Test
	void keepsEndpointsOfALapsedShardUntilAnotherOwnerIsKnown() {
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.gained(SHARD, true);
		this.pool.linger(SHARD);
		this.pool.list(List.of(entry(VmEntry.Status.LIVE)));
		assertThat(this.owned).hasSize(1);
		assertThat(this.pool.lingering()).containsExactly(SHARD);
		this.pool.lost(SHARD);
		assertThat(this.owned).isEmpty();
	}

}
