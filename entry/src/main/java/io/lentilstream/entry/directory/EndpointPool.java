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
 * The endpoints that this entry VM may send to: those in the VM list whose shard this
 * entry VM owns. If the previous owner did not release the shard cleanly, an endpoint is
 * used only after it has reported how many requests it still runs for that owner.
 */
public final class EndpointPool {

	private final ShardMap shardMap;

	private final Function<EndpointId, CompletableFuture<OptionalInt>> inFlightQuery;

	private final Consumer<Collection<OwnedEndpoint>> listener;

	private final Map<EndpointId, VmEntry> listedEndpoints = new HashMap<>();

	private final Map<ShardId, Ownership> shards = new HashMap<>();

	private final Map<EndpointId, OptionalInt> inheritedInFlight = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param shardMap maps endpoints to shards
	 * @param inFlightQuery queries an endpoint for the number of requests it runs
	 * @param listener receives all owned endpoints after each change
	 */
	public EndpointPool(ShardMap shardMap, Function<EndpointId, CompletableFuture<OptionalInt>> inFlightQuery,
			Consumer<Collection<OwnedEndpoint>> listener) {
		this.shardMap = shardMap;
		this.inFlightQuery = inFlightQuery;
		this.listener = listener;
	}

	/**
	 * Replaces the VM list of the zone.
	 * @param entries the list; entries of other roles are ignored
	 */
	public synchronized void updateList(List<VmEntry> entries) {
		this.listedEndpoints.clear();
		for (VmEntry entry : entries) {
			if (entry.role() == VmEntry.Role.ENDPOINT && entry.team().isPresent() && entry.service().isPresent()) {
				this.listedEndpoints.put(new EndpointId(entry.vm().value()), entry);
			}
		}
		this.inheritedInFlight.keySet().retainAll(this.listedEndpoints.keySet());
		notifyListener();
	}

	/**
	 * Adds the endpoints of a shard.
	 * @param shard the shard
	 * @param cleanHandover whether the previous owner, if any, confirmed that it stopped
	 * sending to them
	 */
	public synchronized void shardAcquired(ShardId shard, boolean cleanHandover) {
		Ownership known = this.shards.get(shard);
		this.shards.put(shard, new Ownership(cleanHandover || (known != null && known.retained()), false));
		notifyListener();
	}

	/**
	 * Removes the endpoints of a shard.
	 * @param shard the shard
	 */
	public synchronized void shardLost(ShardId shard) {
		this.shards.remove(shard);
		this.inheritedInFlight.keySet().removeIf((endpoint) -> this.shardMap.ofEndpoint(endpoint).equals(shard));
		notifyListener();
	}

	/**
	 * Retains the endpoints of a shard whose lease lapsed during a store outage, until
	 * the shard is acquired again or another owner is known. This keeps urgent requests
	 * served during the outage. The guards of the endpoints limit the load if two entry
	 * VMs send to the same endpoint.
	 * @param shard the shard
	 */
	public synchronized void retainAfterLapse(ShardId shard) {
		if (this.shards.containsKey(shard)) {
			this.shards.put(shard, new Ownership(true, true));
		}
	}

	/**
	 * Returns the shards whose endpoints are retained after a lapse of the lease.
	 * @return the shards
	 */
	public synchronized List<ShardId> retained() {
		return this.shards.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().retained())
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the address of a listed endpoint.
	 * @param endpoint the endpoint
	 * @return host and port, or {@code null} if the endpoint is not listed
	 */
	public synchronized String addressOf(EndpointId endpoint) {
		VmEntry entry = this.listedEndpoints.get(endpoint);
		return (entry != null) ? entry.address() : null;
	}

	/**
	 * Returns the number of endpoints that this entry VM owns.
	 * @return the count
	 */
	public synchronized int ownedCount() {
		return owned().size();
	}

	private void notifyListener() {
		this.listener.accept(owned());
	}

	private List<OwnedEndpoint> owned() {
		List<OwnedEndpoint> owned = new ArrayList<>();
		this.listedEndpoints.forEach((id, entry) -> {
			Ownership ownership = this.shards.get(this.shardMap.ofEndpoint(id));
			if (ownership != null) {
				owned.add(new OwnedEndpoint(id, new ServiceKey(entry.team().get(), entry.service().get()),
						entry.slots(), entry.connections(), entry.status() == VmEntry.Status.LEAVING,
						inheritedInFlightOf(id, ownership)));
			}
		});
		return owned;
	}

	private OptionalInt inheritedInFlightOf(EndpointId endpoint, Ownership ownership) {
		if (ownership.cleanHandover()) {
			return OptionalInt.of(0);
		}
		OptionalInt known = this.inheritedInFlight.get(endpoint);
		if (known != null) {
			return known;
		}
		this.inheritedInFlight.put(endpoint, OptionalInt.empty());
		this.inFlightQuery.apply(endpoint).thenAccept((count) -> countReceived(endpoint, count));
		return OptionalInt.empty();
	}

	private synchronized void countReceived(EndpointId endpoint, OptionalInt count) {
		if (count.isPresent()) {
			this.inheritedInFlight.put(endpoint, count);
			notifyListener();
		}
		else {
			// The next VM list triggers another query.
			this.inheritedInFlight.remove(endpoint);
		}
	}

	private record Ownership(boolean cleanHandover, boolean retained) {
	}

}
