package io.lentilstream.shards.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.shards.RecordFormatException;
import io.lentilstream.shards.RetryingWrite;

/**
 * Decides which shards this entry VM owns: keeps one store lease, registers the VM's key
 * under it, takes free shards by compare-and-swap and gives surplus ones back. One per
 * process. All methods are thread-safe and return at once; store calls are returned as
 * actions, and each of them must be completed with its outcome, at the latest after the
 * client's timeout.
 */
public final class ShardOwnership {

	private final Object lock = new Object();

	private final OwnershipSettings settings;

	private final VmId vm;

	private final List<ShardScope> scopes;

	private final LeaseRenewer keeper;

	private final Map<Long, PendingCall> calls = new HashMap<>();

	private final Map<ShardId, KnownRecord> records = new TreeMap<>();

	private final Map<VmId, EntryVmRecord> entries = new TreeMap<>();

	private final Map<ShardId, OwnedShard> owned = new TreeMap<>();

	private final Map<ShardId, Take> takes = new TreeMap<>();

	private final Map<ShardId, RetryingWrite> releases = new TreeMap<>();

	private final Map<ShardId, MonotonicTime> freeSince = new HashMap<>();

	private final Map<VmId, MonotonicTime> passedOver = new HashMap<>();

	private final Set<String> listedScopes = new HashSet<>();

	private Set<VmId> listedAsLeaving = Set.of();

	private long nextId = 1;

	private long sequence;

	private long entriesSequence;

	private MonotonicTime nextEntries;

	private MonotonicTime nextRecords;

	private MonotonicTime lastLists;

	private long ownEntryVersion;

	private MonotonicTime nextRegistration;

	private RetryingWrite registration;

	private boolean registered;

	private boolean suspended;

	private boolean leaving;

	private boolean revoked;

	private boolean shutDown;

	/**
	 * Creates the ownership of a process that owns nothing yet.
	 * @param settings the times
	 * @param vm this entry VM
	 * @param scopes the scopes whose shards this VM shares
	 * @param now the present time
	 */
	public ShardOwnership(OwnershipSettings settings, VmId vm, List<ShardScope> scopes, MonotonicTime now) {
		this.settings = settings;
		this.vm = vm;
		this.scopes = List.copyOf(scopes);
		this.keeper = new LeaseRenewer(settings, now);
		this.nextEntries = now;
		this.nextRecords = now;
		this.nextRegistration = now;
	}

	/**
	 * Carries out what is due.
	 * @param now the present time
	 * @return the actions
	 */
	public List<OwnershipAction> tick(MonotonicTime now) {
		synchronized (this.lock) {
			return advance(now, new ArrayList<>());
		}
	}

	/**
	 * Returns when {@link #tick} must be called next if nothing else happens.
	 * @return the time, or empty after the shutdown
	 */
	public Optional<MonotonicTime> nextWakeUp() {
		synchronized (this.lock) {
			if (this.shutDown) {
				return Optional.empty();
			}
			Stream<MonotonicTime> times = Stream
				.of(this.keeper.dueAt().filter((time) -> !this.revoked).stream(),
						this.keeper.commitDeadline().filter((time) -> !this.suspended).stream(),
						(isListing() || this.revoked) ? Stream.<MonotonicTime>empty()
								: Stream.of(this.nextEntries, this.nextRecords),
						writes().map(RetryingWrite::dueAt).flatMap(Optional::stream))
				.flatMap((stream) -> stream);
			return times.min(Comparator.naturalOrder());
		}
	}

	/**
	 * Takes the outcome of a grant, renewal or revocation.
	 * @param now the present time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, LeaseOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			PendingCall call = this.calls.remove(id);
			if (call instanceof PendingCall.Revoke) {
				// Without a reply the lease lapses by itself.
				this.shutDown = true;
				actions.add(new OwnershipAction.ShutdownComplete());
			}
			else if (call instanceof PendingCall.Lease && this.keeper.completed(now, id, outcome)) {
				loseAll(OwnershipAction.LossReason.LEASE_LAPSED, actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Takes the outcome of a write.
	 * @param now the present time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, WriteOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			if (this.calls.remove(id) instanceof PendingCall.Settle call && isCurrent(call)) {
				settled(now, call, call.write().completed(now, outcome), actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Takes the outcome of a read.
	 * @param now the present time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, ReadOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			if (this.calls.remove(id) instanceof PendingCall.Settle call && isCurrent(call)) {
				settled(now, call, call.write().completed(now, outcome), actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Takes the outcome of a list.
	 * @param now the present time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, ListOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			PendingCall call = this.calls.remove(id);
			if (outcome instanceof ListOutcome.Listed listed) {
				if (call instanceof PendingCall.Records list) {
					recordsListed(list.scope(), listed.values(), actions);
				}
				else if (call instanceof PendingCall.Entries list) {
					entriesListed(listed.values(), actions);
					this.entriesSequence = list.sequence();
					if (!this.shutDown && this.listedScopes.size() == this.scopes.size()) {
						this.scopes.forEach((scope) -> decide(now, scope, actions));
					}
				}
			}
			else if (call instanceof PendingCall.Entries) {
				this.nextEntries = now.plus(this.settings.retryInterval());
			}
			else if (call instanceof PendingCall.Records) {
				this.nextRecords = now.plus(this.settings.retryInterval());
			}
			return advance(now, actions);
		}
	}

	/**
	 * Takes the entry VMs that the platform lists as leaving. They get no shards; what
	 * they own stays with them until they release it or their lease lapses, since the
	 * list lags.
	 * @param leavingVms the VMs
	 */
	public void setLeavingVms(Set<VmId> leavingVms) {
		synchronized (this.lock) {
			this.listedAsLeaving = Set.copyOf(leavingVms);
		}
	}

	/**
	 * Asks for fresh lists, for example after a peer said that it released a shard. Lists
	 * are at least one retry interval apart.
	 * @param now the present time
	 * @return the actions
	 */
	public List<OwnershipAction> requestRefresh(MonotonicTime now) {
		synchronized (this.lock) {
			MonotonicTime earliest = (this.lastLists != null) ? this.lastLists.plus(this.settings.retryInterval())
					: now;
			MonotonicTime due = earliest.isBefore(now) ? now : earliest;
			this.nextRecords = earlier(this.nextRecords, due);
			this.nextEntries = earlier(this.nextEntries, due);
			return advance(now, new ArrayList<>());
		}
	}

	/**
	 * Says that nothing new starts in a shard and its log has no commit pending, as asked
	 * by {@link OwnershipAction.PrepareRelease}.
	 * @param now the present time
	 * @param shard the shard
	 * @param nothingHeldBack whether nothing is held back for an earlier owner
	 * @return the actions
	 */
	public List<OwnershipAction> releasePrepared(MonotonicTime now, ShardId shard, boolean nothingHeldBack) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			OwnedShard mine = this.owned.get(shard);
			if (mine != null && mine.releasing) {
				this.owned.remove(shard);
				actions.add(
						new OwnershipAction.ShardLost(shard, mine.record.epoch(), OwnershipAction.LossReason.RELEASED));
				startRelease(now, shard, mine, nothingHeldBack);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Starts the graceful shutdown: takes nothing more, releases all shards, then ends
	 * the lease.
	 * @param now the present time
	 * @return the actions
	 */
	public List<OwnershipAction> shutdown(MonotonicTime now) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			if (!this.leaving) {
				this.leaving = true;
				this.registered = false;
				this.registration = null;
				this.owned.forEach((shard, mine) -> prepareRelease(shard, mine, actions));
			}
			return advance(now, actions);
		}
	}

	/**
	 * Tells whether this VM may commit capacity of a shard.
	 * @param now the present time
	 * @param shard the shard
	 * @return whether the shard is owned and the commit deadline has not passed
	 */
	public boolean mayCommit(MonotonicTime now, ShardId shard) {
		synchronized (this.lock) {
			OwnedShard mine = this.owned.get(shard);
			return mine != null && mine.announced && this.keeper.mayCommit(now);
		}
	}

	/**
	 * Returns the commit deadline of all owned shards.
	 * @return the deadline, or empty without a lease
	 */
	public Optional<MonotonicTime> commitDeadline() {
		synchronized (this.lock) {
			return this.keeper.commitDeadline();
		}
	}

	/**
	 * Returns the shards that this VM owns, with their epochs.
	 * @return the shards, also those being released or suspended
	 */
	public Map<ShardId, Epoch> ownedShards() {
		synchronized (this.lock) {
			Map<ShardId, Epoch> result = new TreeMap<>();
			this.owned.forEach((shard, mine) -> {
				if (mine.announced) {
					result.put(shard, mine.record.epoch());
				}
			});
			return result;
		}
	}

	/**
	 * Returns the last known ownership record of a shard, for forwarding. It may be
	 * stale.
	 * @param shard the shard
	 * @return the record, or empty if none is known
	 */
	public Optional<OwnershipRecord> lastKnownRecord(ShardId shard) {
		synchronized (this.lock) {
			return Optional.ofNullable(this.records.get(shard)).flatMap(KnownRecord::record);
		}
	}

	private List<OwnershipAction> advance(MonotonicTime now, List<OwnershipAction> actions) {
		if (this.shutDown) {
			return actions;
		}
		updateSuspension(now, actions);
		if (!this.revoked) {
			this.keeper.next(now, this.nextId).ifPresent((action) -> {
				this.calls.put(this.nextId++, new PendingCall.Lease());
				actions.add(action);
			});
		}
		register(now);
		sendSettledWrites(now, actions);
		sendLists(now, actions);
		finishShutdown(actions);
		return actions;
	}

	private void updateSuspension(MonotonicTime now, List<OwnershipAction> actions) {
		if (this.keeper.lease().isEmpty()) {
			return;
		}
		boolean expired = !this.keeper.mayCommit(now);
		this.owned.forEach((shard, mine) -> {
			Epoch epoch = mine.record.epoch();
			if (!mine.announced && !expired) {
				mine.announced = true;
				actions.add(new OwnershipAction.ShardAcquired(shard, epoch, mine.clean, mine.previousOwner));
				if (this.leaving) {
					prepareRelease(shard, mine, actions);
				}
			}
			else if (mine.announced && expired != this.suspended) {
				actions.add((expired) ? new OwnershipAction.ShardSuspended(shard, epoch)
						: new OwnershipAction.ShardResumed(shard, epoch));
			}
		});
		this.suspended = expired;
	}

	private void register(MonotonicTime now) {
		Optional<LeaseId> lease = this.keeper.lease();
		if (lease.isEmpty() || this.registered || this.registration != null || this.revoked) {
			return;
		}
		List<String> names = this.scopes.stream().map(ShardScope::name).toList();
		EntryVmRecord entry = new EntryVmRecord(lease.get(), this.leaving, names);
		this.registration = new RetryingWrite(this.nextRegistration, OwnershipKeys.entry(this.vm), entry.encode(),
				this.ownEntryVersion, lease, this.settings.retryInterval());
	}

	private void sendSettledWrites(MonotonicTime now, List<OwnershipAction> actions) {
		if (this.registration != null) {
			send(now, this.registration, Optional.empty(), actions);
		}
		this.takes.forEach((shard, take) -> send(now, take.write(), Optional.of(shard), actions));
		this.releases.forEach((shard, write) -> send(now, write, Optional.of(shard), actions));
	}

	private void send(MonotonicTime now, RetryingWrite write, Optional<ShardId> shard, List<OwnershipAction> actions) {
		Optional<RetryingWrite.Call> call = write.next(now);
		if (call.isEmpty()) {
			return;
		}
		long id = this.nextId++;
		this.calls.put(id, new PendingCall.Settle(write, shard));
		if (call.get() instanceof RetryingWrite.Call.Write put) {
			actions.add(new OwnershipAction.WriteRecord(id, put.write()));
		}
		else {
			actions.add(new OwnershipAction.ReadRecord(id, write.key()));
		}
	}

	/**
	 * Sends due lists, the records before the entries. The order matters: an owner
	 * registers its entry before it takes a shard, so an entry that is missing from a
	 * list sent after the record was read has lapsed. In the other order the owner could
	 * have registered in between.
	 * @param now the present time
	 * @param actions where to add the actions
	 */
	private void sendLists(MonotonicTime now, List<OwnershipAction> actions) {
		if (isListing() || this.revoked) {
			return;
		}
		if (!now.isBefore(this.nextRecords)) {
			this.nextRecords = now.plus(this.settings.recordsInterval());
			this.lastLists = now;
			for (ShardScope scope : this.scopes) {
				long id = this.nextId++;
				this.calls.put(id, new PendingCall.Records(scope));
				actions.add(new OwnershipAction.ListRecords(id, OwnershipKeys.records(scope.name())));
			}
			return;
		}
		if (!now.isBefore(this.nextEntries)) {
			this.nextEntries = now.plus(this.settings.entriesInterval());
			this.lastLists = now;
			long id = this.nextId++;
			this.calls.put(id, new PendingCall.Entries(++this.sequence));
			actions.add(new OwnershipAction.ListRecords(id, OwnershipKeys.ENTRIES));
		}
	}

	private boolean isListing() {
		return this.calls.values()
			.stream()
			.anyMatch((call) -> call instanceof PendingCall.Records || call instanceof PendingCall.Entries);
	}

	private void finishShutdown(List<OwnershipAction> actions) {
		boolean busy = !this.owned.isEmpty() || !this.takes.isEmpty() || !this.releases.isEmpty();
		if (!this.leaving || this.revoked || busy) {
			return;
		}
		this.revoked = true;
		if (this.keeper.lease().isEmpty()) {
			this.shutDown = true;
			actions.add(new OwnershipAction.ShutdownComplete());
			return;
		}
		long id = this.nextId++;
		this.calls.put(id, new PendingCall.Revoke());
		actions.add(new OwnershipAction.RevokeLease(id, this.keeper.lease().get()));
	}

	private void loseAll(OwnershipAction.LossReason reason, List<OwnershipAction> actions) {
		this.owned.forEach((shard, mine) -> {
			if (mine.announced) {
				actions.add(new OwnershipAction.ShardLost(shard, mine.record.epoch(), reason));
			}
		});
		this.owned.clear();
		this.takes.clear();
		this.releases.clear();
		this.registration = null;
		this.registered = false;
		this.suspended = false;
	}

	/**
	 * Tells whether a call still matters. A lost lease drops all writes under it.
	 * @param call the call
	 * @return whether its write is still wanted
	 */
	private boolean isCurrent(PendingCall.Settle call) {
		return writes().anyMatch((write) -> write == call.write());
	}

	private Stream<RetryingWrite> writes() {
		return Stream
			.of(Stream.ofNullable(this.registration), this.takes.values().stream().map(Take::write),
					this.releases.values().stream())
			.flatMap((stream) -> stream);
	}

	private void settled(MonotonicTime now, PendingCall.Settle call, RetryingWrite.Result result,
			List<OwnershipAction> actions) {
		if (result instanceof RetryingWrite.Result.Open) {
			return;
		}
		if (call.shard().isEmpty()) {
			registrationSettled(now, result);
			return;
		}
		ShardId shard = call.shard().get();
		Take take = this.takes.remove(shard);
		if (take == null) {
			this.releases.remove(shard);
		}
		if (result instanceof RetryingWrite.Result.Lost lost) {
			remember(shard, lost.current(), actions);
			this.nextRecords = earlier(this.nextRecords, now.plus(this.settings.retryInterval()));
			return;
		}
		long version = ((RetryingWrite.Result.Applied) result).version();
		if (take != null) {
			this.records.put(shard, new KnownRecord(Optional.of(take.record()), version, ++this.sequence, true));
			this.owned.put(shard, new OwnedShard(take.record(), version, take.clean(), take.previousOwner()));
		}
	}

	private void registrationSettled(MonotonicTime now, RetryingWrite.Result result) {
		this.registration = null;
		if (result instanceof RetryingWrite.Result.Applied applied) {
			this.ownEntryVersion = applied.version();
			this.registered = true;
		}
		else if (result instanceof RetryingWrite.Result.Lost lost) {
			// Another run of this VM left the key, or it lapsed; write over what is
			// there. The delay bounds the calls if two processes run under one VM id.
			this.nextRegistration = now.plus(this.settings.retryInterval());
			this.ownEntryVersion = lost.current().map(StoredValue::version).orElse(StoreWrite.ABSENT);
		}
	}

	private void recordsListed(ShardScope scope, List<StoredValue> values, List<OwnershipAction> actions) {
		this.listedScopes.add(scope.name());
		Map<ShardId, StoredValue> found = new HashMap<>();
		for (StoredValue value : values) {
			OwnershipKeys.shardOf(value.key(), scope.name()).ifPresent((shard) -> found.put(shard, value));
		}
		for (ShardId shard : scope.shardIds()) {
			remember(shard, Optional.ofNullable(found.get(shard)), actions);
		}
	}

	private void remember(ShardId shard, Optional<StoredValue> value, List<OwnershipAction> actions) {
		long version = value.map(StoredValue::version).orElse(StoreWrite.ABSENT);
		KnownRecord known = this.records.get(shard);
		if (known != null && known.version() > version) {
			// The list was read before the write that this VM already knows.
			return;
		}
		Optional<OwnershipRecord> record = Optional.empty();
		boolean readable = true;
		try {
			if (value.isPresent()) {
				record = Optional.of(OwnershipRecord.decode(value.get().value()));
			}
		}
		catch (RecordFormatException ex) {
			readable = false;
			actions.add(new OwnershipAction.RecordRefused(value.get().key(), ex.getMessage()));
		}
		this.records.put(shard, new KnownRecord(record, version, ++this.sequence, readable));
		OwnedShard mine = this.owned.get(shard);
		if (mine != null && version > mine.version) {
			this.owned.remove(shard);
			if (mine.announced) {
				actions.add(new OwnershipAction.ShardLost(shard, mine.record.epoch(),
						OwnershipAction.LossReason.TAKEN_BY_PEER));
			}
		}
	}

	private void entriesListed(List<StoredValue> values, List<OwnershipAction> actions) {
		this.entries.clear();
		for (StoredValue value : values) {
			if (this.registered && value.key().equals(OwnershipKeys.entry(this.vm))
					&& value.version() > this.ownEntryVersion) {
				stopAsReplaced(value, actions);
			}
			String name = value.key().path().substring(OwnershipKeys.ENTRIES.path().length());
			try {
				this.entries.put(new VmId(name), EntryVmRecord.decode(value.value()));
			}
			catch (RecordFormatException | IllegalArgumentException ex) {
				actions.add(new OwnershipAction.RecordRefused(value.key(), ex.getMessage()));
			}
		}
	}

	/**
	 * Stops for good because another process registered under this VM id. Peers treat the
	 * shards of this process as free from then on.
	 * @param entry the entry of the other process
	 * @param actions where to add the actions
	 */
	private void stopAsReplaced(StoredValue entry, List<OwnershipAction> actions) {
		loseAll(OwnershipAction.LossReason.TAKEN_BY_PEER, actions);
		this.shutDown = true;
		actions.add(new OwnershipAction.RecordRefused(entry.key(), "another process runs under this VM id"));
	}

	private void decide(MonotonicTime now, ShardScope scope, List<OwnershipAction> actions) {
		Map<ShardId, VmId> owners = new HashMap<>();
		List<ShardId> shards = new ArrayList<>();
		for (ShardId shard : scope.shardIds()) {
			KnownRecord known = this.records.get(shard);
			if (known == null || !known.readable()) {
				continue;
			}
			shards.add(shard);
			if (!isFree(known)) {
				owners.put(shard, known.record().get().owner());
			}
		}
		this.passedOver.values().removeIf((end) -> !now.isBefore(end));
		Map<ShardId, VmId> plan = ShardAssignment.plan(shards, owners, eligible(scope));
		for (ShardId shard : shards) {
			VmId planned = plan.get(shard);
			if (owners.containsKey(shard)) {
				this.freeSince.remove(shard);
				considerRelease(now, shard, planned, actions);
			}
			else if (this.vm.equals(planned)) {
				this.freeSince.putIfAbsent(shard, now);
				startTake(now, shard);
			}
			else if (planned != null) {
				MonotonicTime since = this.freeSince.computeIfAbsent(shard, (key) -> now);
				if (!now.isBefore(since.plus(this.settings.passOverDelay()))) {
					this.passedOver.put(planned, now.plus(this.settings.passOverLength()));
				}
			}
		}
		if (owners.size() < shards.size()) {
			this.nextRecords = earlier(this.nextRecords, this.nextEntries);
		}
	}

	private List<VmId> eligible(ShardScope scope) {
		List<VmId> vms = new ArrayList<>();
		this.entries.forEach((peer, entry) -> {
			boolean excluded = entry.leaving() || this.listedAsLeaving.contains(peer)
					|| this.passedOver.containsKey(peer);
			if (!peer.equals(this.vm) && entry.scopes().contains(scope.name()) && !excluded) {
				vms.add(peer);
			}
		});
		if (this.registered && !this.leaving && !this.listedAsLeaving.contains(this.vm)) {
			vms.add(this.vm);
		}
		return vms;
	}

	private boolean isFree(KnownRecord known) {
		if (known.record().isEmpty() || known.record().get().released()) {
			return true;
		}
		if (known.sequence() > this.entriesSequence) {
			return false;
		}
		OwnershipRecord record = known.record().get();
		EntryVmRecord entry = this.entries.get(record.owner());
		return entry == null || !entry.lease().equals(record.lease());
	}

	private void startTake(MonotonicTime now, ShardId shard) {
		boolean busy = this.takes.containsKey(shard) || this.releases.containsKey(shard)
				|| this.owned.containsKey(shard);
		if (busy || !this.registered || this.leaving || !this.keeper.mayCommit(now)) {
			return;
		}
		KnownRecord known = this.records.get(shard);
		Epoch epoch = known.record().map(OwnershipRecord::epoch).orElse(Epoch.NONE).next();
		OwnershipRecord record = OwnershipRecord.taken(this.vm, this.keeper.lease().get(), epoch);
		boolean clean = known.record().map((last) -> last.released() && last.clean()).orElse(true);
		RetryingWrite write = new RetryingWrite(now, OwnershipKeys.owner(shard), record.encode(), known.version(),
				Optional.empty(), this.settings.retryInterval());
		this.takes.put(shard, new Take(write, record, clean, known.record().map(OwnershipRecord::owner)));
	}

	private void considerRelease(MonotonicTime now, ShardId shard, VmId planned, List<OwnershipAction> actions) {
		OwnedShard mine = this.owned.get(shard);
		if (mine == null) {
			return;
		}
		if (planned == null || planned.equals(this.vm)) {
			mine.surplusSince = null;
			return;
		}
		if (mine.surplusSince == null) {
			mine.surplusSince = now;
		}
		if (!now.isBefore(mine.surplusSince.plus(this.settings.releaseDelay()))) {
			prepareRelease(shard, mine, actions);
		}
	}

	private void prepareRelease(ShardId shard, OwnedShard mine, List<OwnershipAction> actions) {
		if (mine.announced && !mine.releasing) {
			mine.releasing = true;
			actions.add(new OwnershipAction.PrepareRelease(shard, mine.record.epoch()));
		}
	}

	private void startRelease(MonotonicTime now, ShardId shard, OwnedShard mine, boolean nothingHeldBack) {
		this.releases.put(shard,
				new RetryingWrite(now, OwnershipKeys.owner(shard), mine.record.asReleased(nothingHeldBack).encode(),
						mine.version, Optional.empty(), this.settings.retryInterval()));
	}

	private static MonotonicTime earlier(MonotonicTime one, MonotonicTime other) {
		return one.isBefore(other) ? one : other;
	}

	private sealed interface PendingCall {

		record Lease() implements PendingCall {
		}

		record Revoke() implements PendingCall {
		}

		record Settle(RetryingWrite write, Optional<ShardId> shard) implements PendingCall {
		}

		record Records(ShardScope scope) implements PendingCall {
		}

		record Entries(long sequence) implements PendingCall {
		}

	}

	private record KnownRecord(Optional<OwnershipRecord> record, long version, long sequence, boolean readable) {
	}

	private record Take(RetryingWrite write, OwnershipRecord record, boolean clean, Optional<VmId> previousOwner) {
	}

	private static final class OwnedShard {

		private final OwnershipRecord record;

		private final long version;

		private final boolean clean;

		private final Optional<VmId> previousOwner;

		private boolean announced;

		private boolean releasing;

		private MonotonicTime surplusSince;

		OwnedShard(OwnershipRecord record, long version, boolean clean, Optional<VmId> previousOwner) {
			this.record = record;
			this.version = version;
			this.clean = clean;
			this.previousOwner = previousOwner;
		}

	}

}
