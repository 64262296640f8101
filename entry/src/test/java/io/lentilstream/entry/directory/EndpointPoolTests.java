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
 * Guards against two entry VMs that together exceed the slots of one endpoint.
 */
class EndpointPoolTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("z");

	private static final ShardId SHARD = new ShardId("z", 0);

	private final List<CompletableFuture<OptionalInt>> inFlightQueries = new ArrayList<>();

	private Collection<OwnedEndpoint> owned = List.of();

	private final EndpointPool pool = new EndpointPool(new ShardMap(ZONE, 1, "r", 1), this::queryInFlight,
			(endpoints) -> this.owned = endpoints);

	private CompletableFuture<OptionalInt> queryInFlight(EndpointId endpoint) {
		this.inFlightQueries.add(new CompletableFuture<>());
		return this.inFlightQueries.get(this.inFlightQueries.size() - 1);
	}

	private static VmEntry entry(VmEntry.Status status) {
		return new VmEntry(new VmId("e"), VmEntry.Role.ENDPOINT, status, ZONE, new RackId("r"), "h:1", Resources.NONE,
				Optional.of(new TeamId("t")), Optional.of(new ServiceName("s")), 8, 64);
	}

	@Test
	void excludesEndpointsOfShardsThatItDoesNotOwn() {
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		assertThat(this.owned).isEmpty();
	}

	@Test
	void queriesTheInFlightCountAfterATakeoverWithoutHandover() {
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.shardAcquired(SHARD, false);
		assertThat(this.owned).singleElement().matches((endpoint) -> endpoint.inheritedInFlight().isEmpty());
		this.inFlightQueries.get(0).complete(OptionalInt.of(3));
		assertThat(this.owned).singleElement()
			.matches((endpoint) -> endpoint.inheritedInFlight().equals(OptionalInt.of(3)));
		assertThat(this.inFlightQueries).hasSize(1);
	}

	@Test
	void repeatsTheQueryAtTheNextListIfTheEndpointDidNotAnswer() {
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.shardAcquired(SHARD, false);
		this.inFlightQueries.get(0).complete(OptionalInt.empty());
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		assertThat(this.inFlightQueries).hasSize(2);
	}

	@Test
	void usesAnEndpointImmediatelyAfterAHandover() {
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.shardAcquired(SHARD, true);
		assertThat(this.owned).singleElement()
			.matches((endpoint) -> endpoint.inheritedInFlight().equals(OptionalInt.of(0)));
		assertThat(this.inFlightQueries).isEmpty();
	}

	@Test
	void marksALeavingEndpoint() {
		this.pool.shardAcquired(SHARD, true);
		this.pool.updateList(List.of(entry(VmEntry.Status.LEAVING)));
		assertThat(this.owned).singleElement().matches(OwnedEndpoint::leaving);
	}

	@Test
	void retainsEndpointsOfALapsedShardUntilAnotherOwnerIsKnown() {
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		this.pool.shardAcquired(SHARD, true);
		this.pool.retainAfterLapse(SHARD);
		this.pool.updateList(List.of(entry(VmEntry.Status.LIVE)));
		assertThat(this.owned).hasSize(1);
		assertThat(this.pool.retained()).containsExactly(SHARD);
		this.pool.shardLost(SHARD);
		assertThat(this.owned).isEmpty();
	}

}
