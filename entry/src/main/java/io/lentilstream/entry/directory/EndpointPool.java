package io.lentilstream.entry.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import io.lentilstream.clients.VmEntry;
import io.lentilstream.entry.shards.ShardMap;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.ShardId;
import io.lentilstream.requests.OwnedEndpoint;
import io.lentilstream.requests.ServiceKey;

/**
 * Knows which endpoints this entry VM may send to: those that the list of VMs names and
 * whose shard this entry VM owns. An endpoint that comes without a confirmed handover is
 * used once it told how many requests it still runs for the earlier owner.
 */
public final class EndpointPool {

	private final ShardMap shardMap;

	private final Function<EndpointId, CompletableFuture<OptionalInt>> inFlight;

	private final Consumer<Collection<OwnedEndpoint>> changed;

	private final Map<EndpointId, VmEntry> listed = new HashMap<>();

	private final Map<ShardId, Ownership> shards = new HashMap<>();

	private final Map<EndpointId, OptionalInt> baselines = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param shardMap maps endpoints to shards
	 * @param inFlight asks an endpoint how many requests it runs
	 * @param changed is told all owned endpoints after each change
	 */
	public EndpointPool(ShardMap shardMap, Function<EndpointId, CompletableFuture<OptionalInt>> inFlight,
			Consumer<Collection<OwnedEndpoint>> changed) {
		this.shardMap = shardMap;
		this.inFlight = inFlight;
		this.changed = changed;
	}

	/**
	 * Replaces the list of VMs of the zone.
	 * @param entries the list; only endpoints are used
	 */
	public synchronized void list(List<VmEntry> entries) {
		this.listed.clear();
		for (VmEntry entry : entries) {
			if (entry.role() == VmEntry.Role.ENDPOINT && entry.team().isPresent() && entry.service().isPresent()) {
				this.listed.put(new EndpointId(entry.vm().value()), entry);
			}
		}
		this.baselines.keySet().retainAll(this.listed.keySet());
		publish();
	}

	/**
	 * Adds the endpoints of a shard.
	 * @param shard the shard
	 * @param handedOver whether no other entry VM still sends to them
	 */
	public synchronized void gained(ShardId shard, boolean handedOver) {
		Ownership known = this.shards.get(shard);
		this.shards.put(shard, new Ownership(handedOver || (known != null && known.lingering()), false));
		publish();
	}

	/**
	 * Removes the endpoints of a shard.
	 * @param shard the shard
	 */
	public synchronized void lost(ShardId shard) {
		this.shards.remove(shard);
		this.baselines.keySet().removeIf((endpoint) -> this.shardMap.ofEndpoint(endpoint).equals(shard));
		publish();
	}

	/**
	 * Keeps the endpoints of a shard whose lease lapsed while the store was away, until
	 * the shard is gained again or another owner is known. Urgent requests must be served
	 * meanwhile; the endpoints' guards limit what two senders could do together.
	 * @param shard the shard
	 */
	public synchronized void linger(ShardId shard) {
		if (this.shards.containsKey(shard)) {
			this.shards.put(shard, new Ownership(true, true));
		}
	}

	/**
	 * Returns the shards that are kept after their lease lapsed.
	 * @return the shards
	 */
	public synchronized List<ShardId> lingering() {
		return this.shards.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().lingering())
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the address of a listed endpoint.
	 * @param endpoint the endpoint
	 * @return host and port, or {@code null} if the endpoint is not listed
	 */
	public synchronized String addressOf(EndpointId endpoint) {
		VmEntry entry = this.listed.get(endpoint);
		return (entry != null) ? entry.address() : null;
	}

	/**
	 * Returns the number of endpoints that this entry VM owns.
	 * @return the count
	 */
	public synchronized int ownedCount() {
		return owned().size();
	}

	private void publish() {
		this.changed.accept(owned());
	}

	private List<OwnedEndpoint> owned() {
		List<OwnedEndpoint> owned = new ArrayList<>();
		this.listed.forEach((id, entry) -> {
			Ownership ownership = this.shards.get(this.shardMap.ofEndpoint(id));
			if (ownership != null) {
				owned
					.add(new OwnedEndpoint(id, new ServiceKey(entry.team().get(), entry.service().get()), entry.slots(),
							entry.connections(), entry.status() == VmEntry.Status.LEAVING, baseline(id, ownership)));
			}
		});
		return owned;
	}

	private OptionalInt baseline(EndpointId endpoint, Ownership ownership) {
		if (ownership.handedOver()) {
			return OptionalInt.of(0);
		}
		OptionalInt known = this.baselines.get(endpoint);
		if (known != null) {
			return known;
		}
		this.baselines.put(endpoint, OptionalInt.empty());
		this.inFlight.apply(endpoint).thenAccept((count) -> learned(endpoint, count));
		return OptionalInt.empty();
	}

	private synchronized void learned(EndpointId endpoint, OptionalInt count) {
		if (count.isPresent()) {
			this.baselines.put(endpoint, count);
			publish();
		}
		else {
			// The next list asks again.
			this.baselines.remove(endpoint);
		}
	}

	private record Ownership(boolean handedOver, boolean lingering) {
	}

}
