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
 * Decides which shards this entry VM owns. It renews one store lease, registers the VM
 * under it, acquires free shards by compare-and-swap and releases surplus shards. There
 * is one instance per process. All methods are thread-safe and do not block. Store calls
 * are returned as actions; the caller must report the outcome of each one, at the latest
 * after the timeout of the store client.
 */
public final class ShardOwnership {

	private final Object lock = new Object();

	private final OwnershipSettings settings;

	private final VmId vm;

	private final List<ShardScope> scopes;

	private final LeaseRenewer leaseRenewer;

	private final Map<Long, PendingCall> pendingCalls = new HashMap<>();

	private final Map<ShardId, KnownRecord> records = new TreeMap<>();

	private final Map<VmId, EntryVmRecord> entryVms = new TreeMap<>();

	private final Map<ShardId, OwnedShard> owned = new TreeMap<>();

	private final Map<ShardId, Acquisition> acquisitions = new TreeMap<>();

	private final Map<ShardId, RetryingWrite> releases = new TreeMap<>();

	private final Map<ShardId, MonotonicTime> freeSince = new HashMap<>();

	private final Map<VmId, MonotonicTime> excludedUntil = new HashMap<>();

	private final Set<String> listedScopes = new HashSet<>();

	private Set<VmId> leavingVms = Set.of();

	private long nextId = 1;

	private long observationCount;

	private long entryVmListObservation;

	private MonotonicTime nextEntryVmListAt;

	private MonotonicTime nextRecordListAt;

	private MonotonicTime lastListAt;

	private long ownEntryVmVersion;

	private MonotonicTime nextRegistrationAt;

	private RetryingWrite registration;

	private boolean registered;

	private boolean suspended;

	private boolean shuttingDown;

	private boolean revoking;

	private boolean stopped;

	/**
	 * Creates an instance that owns no shards yet.
	 * @param settings the intervals and delays
	 * @param vm this entry VM
	 * @param scopes the scopes in which this VM may own shards
	 * @param now the current time
	 */
	public ShardOwnership(OwnershipSettings settings, VmId vm, List<ShardScope> scopes, MonotonicTime now) {
		this.settings = settings;
		this.vm = vm;
		this.scopes = List.copyOf(scopes);
		this.leaseRenewer = new LeaseRenewer(settings, now);
		this.nextEntryVmListAt = now;
		this.nextRecordListAt = now;
		this.nextRegistrationAt = now;
	}

	/**
	 * Starts the store calls that are due and checks the commit deadline.
	 * @param now the current time
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
			if (this.stopped) {
				return Optional.empty();
			}
			Stream<MonotonicTime> times = Stream
				.of(this.leaseRenewer.dueAt().filter((time) -> !this.revoking).stream(),
						this.leaseRenewer.commitDeadline().filter((time) -> !this.suspended).stream(),
						(isListing() || this.revoking) ? Stream.<MonotonicTime>empty()
								: Stream.of(this.nextEntryVmListAt, this.nextRecordListAt),
						writes().map(RetryingWrite::dueAt).flatMap(Optional::stream))
				.flatMap((stream) -> stream);
			return times.min(Comparator.naturalOrder());
		}
	}

	/**
	 * Processes the outcome of a grant, renewal or revocation.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, LeaseOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			PendingCall call = this.pendingCalls.remove(id);
			if (call instanceof PendingCall.Revoke) {
				// If the revocation failed, the lease lapses on its own.
				this.stopped = true;
				actions.add(new OwnershipAction.ShutdownComplete());
			}
			else if (call instanceof PendingCall.Lease && this.leaseRenewer.completed(now, id, outcome)) {
				loseAllShards(OwnershipAction.LossReason.LEASE_LAPSED, actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Processes the outcome of a write.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, WriteOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			if (this.pendingCalls.remove(id) instanceof PendingCall.RecordWrite call && isCurrent(call)) {
				writeCompleted(now, call, call.write().completed(now, outcome), actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Processes the outcome of a read.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, ReadOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			if (this.pendingCalls.remove(id) instanceof PendingCall.RecordWrite call && isCurrent(call)) {
				writeCompleted(now, call, call.write().completed(now, outcome), actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Processes the outcome of a list.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<OwnershipAction> completed(MonotonicTime now, long id, ListOutcome outcome) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			PendingCall call = this.pendingCalls.remove(id);
			if (outcome instanceof ListOutcome.Listed listed) {
				if (call instanceof PendingCall.RecordList list) {
					applyRecordList(list.scope(), listed.values(), actions);
				}
				else if (call instanceof PendingCall.EntryVmList list) {
					applyEntryVmList(listed.values(), actions);
					this.entryVmListObservation = list.observationCount();
					if (!this.stopped && this.listedScopes.size() == this.scopes.size()) {
						this.scopes.forEach((scope) -> applyPlan(now, scope, actions));
					}
				}
			}
			else if (call instanceof PendingCall.EntryVmList) {
				this.nextEntryVmListAt = now.plus(this.settings.retryInterval());
			}
			else if (call instanceof PendingCall.RecordList) {
				this.nextRecordListAt = now.plus(this.settings.retryInterval());
			}
			return advance(now, actions);
		}
	}

	/**
	 * Sets the entry VMs that the platform lists as leaving. They are assigned no shards.
	 * They keep the shards that they own until they release them or their lease lapses,
	 * since the list lags.
	 * @param leavingVms the VMs
	 */
	public void setLeavingVms(Set<VmId> leavingVms) {
		synchronized (this.lock) {
			this.leavingVms = Set.copyOf(leavingVms);
		}
	}

	/**
	 * Requests new lists of the records, for example after a peer reported that it
	 * released a shard. Lists are at least one retry interval apart.
	 * @param now the current time
	 * @return the actions
	 */
	public List<OwnershipAction> requestRefresh(MonotonicTime now) {
		synchronized (this.lock) {
			MonotonicTime earliest = (this.lastListAt != null) ? this.lastListAt.plus(this.settings.retryInterval())
					: now;
			MonotonicTime due = earliest.isBefore(now) ? now : earliest;
			this.nextRecordListAt = earlier(this.nextRecordListAt, due);
			this.nextEntryVmListAt = earlier(this.nextEntryVmListAt, due);
			return advance(now, new ArrayList<>());
		}
	}

	/**
	 * Confirms that a shard starts no new work and that its log has no pending commit, as
	 * {@link OwnershipAction.PrepareRelease} requested. The shard is lost at once, and
	 * its record is then written as released.
	 * @param now the current time
	 * @param shard the shard
	 * @param cleanRelease whether the shard holds back nothing for an earlier owner
	 * @return the actions
	 */
	public List<OwnershipAction> releasePrepared(MonotonicTime now, ShardId shard, boolean cleanRelease) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			OwnedShard ownedShard = this.owned.get(shard);
			if (ownedShard != null && ownedShard.releasing) {
				this.owned.remove(shard);
				actions.add(new OwnershipAction.ShardLost(shard, ownedShard.record.epoch(),
						OwnershipAction.LossReason.RELEASED));
				startReleaseWrite(now, shard, ownedShard, cleanRelease);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Starts the graceful shutdown: acquires no more shards, releases all shards and then
	 * revokes the lease.
	 * @param now the current time
	 * @return the actions
	 */
	public List<OwnershipAction> shutdown(MonotonicTime now) {
		synchronized (this.lock) {
			List<OwnershipAction> actions = new ArrayList<>();
			if (!this.shuttingDown) {
				this.shuttingDown = true;
				this.registered = false;
				this.registration = null;
				this.owned.forEach((shard, ownedShard) -> prepareRelease(shard, ownedShard, actions));
			}
			return advance(now, actions);
		}
	}

	/**
	 * Returns whether this VM may commit the capacity of a shard.
	 * @param now the current time
	 * @param shard the shard
	 * @return whether the shard is owned and the commit deadline has not passed
	 */
	public boolean mayCommit(MonotonicTime now, ShardId shard) {
		synchronized (this.lock) {
			OwnedShard ownedShard = this.owned.get(shard);
			return ownedShard != null && ownedShard.announced && this.leaseRenewer.mayCommit(now);
		}
	}

	/**
	 * Returns the commit deadline of all owned shards.
	 * @return the deadline, or empty if there is no lease
	 */
	public Optional<MonotonicTime> commitDeadline() {
		synchronized (this.lock) {
			return this.leaseRenewer.commitDeadline();
		}
	}

	/**
	 * Returns the shards that this VM owns, with their epochs.
	 * @return the shards, including those that are being released or are suspended
	 */
	public Map<ShardId, Epoch> ownedShards() {
		synchronized (this.lock) {
			Map<ShardId, Epoch> result = new TreeMap<>();
			this.owned.forEach((shard, ownedShard) -> {
				if (ownedShard.announced) {
					result.put(shard, ownedShard.record.epoch());
				}
			});
			return result;
		}
	}

	/**
	 * Returns the last known ownership record of a shard, which may be stale. It serves
	 * to forward requests.
	 * @param shard the shard
	 * @return the record, or empty if none is known
	 */
	public Optional<OwnershipRecord> lastKnownRecord(ShardId shard) {
		synchronized (this.lock) {
			return Optional.ofNullable(this.records.get(shard)).flatMap(KnownRecord::record);
		}
	}

	private List<OwnershipAction> advance(MonotonicTime now, List<OwnershipAction> actions) {
		if (this.stopped) {
			return actions;
		}
		updateSuspension(now, actions);
		if (!this.revoking) {
			this.leaseRenewer.nextCall(now, this.nextId).ifPresent((action) -> {
				this.pendingCalls.put(this.nextId++, new PendingCall.Lease());
				actions.add(action);
			});
		}
		register(now);
		sendWrites(now, actions);
		sendLists(now, actions);
		continueShutdown(actions);
		return actions;
	}

	private void updateSuspension(MonotonicTime now, List<OwnershipAction> actions) {
		if (this.leaseRenewer.lease().isEmpty()) {
			return;
		}
		boolean expired = !this.leaseRenewer.mayCommit(now);
		this.owned.forEach((shard, ownedShard) -> {
			Epoch epoch = ownedShard.record.epoch();
			if (!ownedShard.announced && !expired) {
				ownedShard.announced = true;
				actions
					.add(new OwnershipAction.ShardAcquired(shard, epoch, ownedShard.clean, ownedShard.previousOwner));
				if (this.shuttingDown) {
					prepareRelease(shard, ownedShard, actions);
				}
			}
			else if (ownedShard.announced && expired != this.suspended) {
				actions.add((expired) ? new OwnershipAction.ShardSuspended(shard, epoch)
						: new OwnershipAction.ShardResumed(shard, epoch));
			}
		});
		this.suspended = expired;
	}

	private void register(MonotonicTime now) {
		Optional<LeaseId> lease = this.leaseRenewer.lease();
		if (lease.isEmpty() || this.registered || this.registration != null || this.revoking) {
			return;
		}
		List<String> names = this.scopes.stream().map(ShardScope::name).toList();
		EntryVmRecord entry = new EntryVmRecord(lease.get(), this.shuttingDown, names);
		this.registration = new RetryingWrite(this.nextRegistrationAt, OwnershipKeys.entryVm(this.vm), entry.encode(),
				this.ownEntryVmVersion, lease, this.settings.retryInterval());
	}

	private void sendWrites(MonotonicTime now, List<OwnershipAction> actions) {
		if (this.registration != null) {
			send(now, this.registration, Optional.empty(), actions);
		}
		this.acquisitions.forEach((shard, acquisition) -> send(now, acquisition.write(), Optional.of(shard), actions));
		this.releases.forEach((shard, write) -> send(now, write, Optional.of(shard), actions));
	}

	private void send(MonotonicTime now, RetryingWrite write, Optional<ShardId> shard, List<OwnershipAction> actions) {
		Optional<RetryingWrite.Call> call = write.nextCall(now);
		if (call.isEmpty()) {
			return;
		}
		long id = this.nextId++;
		this.pendingCalls.put(id, new PendingCall.RecordWrite(write, shard));
		if (call.get() instanceof RetryingWrite.Call.Write put) {
			actions.add(new OwnershipAction.WriteRecord(id, put.write()));
		}
		else {
			actions.add(new OwnershipAction.ReadRecord(id, write.key()));
		}
	}

	/**
	 * Sends the lists that are due, the ownership records before the entry VMs. The order
	 * matters: an owner registers before it acquires a shard, so an owner that is missing
	 * from a list sent after its record was read has lapsed. In the other order the owner
	 * could have registered in between.
	 * @param now the current time
	 * @param actions where to add the actions
	 */
	private void sendLists(MonotonicTime now, List<OwnershipAction> actions) {
		if (isListing() || this.revoking) {
			return;
		}
		if (!now.isBefore(this.nextRecordListAt)) {
			this.nextRecordListAt = now.plus(this.settings.recordListInterval());
			this.lastListAt = now;
			for (ShardScope scope : this.scopes) {
				long id = this.nextId++;
				this.pendingCalls.put(id, new PendingCall.RecordList(scope));
				actions.add(new OwnershipAction.ListRecords(id, OwnershipKeys.recordPrefix(scope.name())));
			}
			return;
		}
		if (!now.isBefore(this.nextEntryVmListAt)) {
			this.nextEntryVmListAt = now.plus(this.settings.entryVmListInterval());
			this.lastListAt = now;
			long id = this.nextId++;
			this.pendingCalls.put(id, new PendingCall.EntryVmList(++this.observationCount));
			actions.add(new OwnershipAction.ListRecords(id, OwnershipKeys.ENTRY_VM_PREFIX));
		}
	}

	private boolean isListing() {
		return this.pendingCalls.values()
			.stream()
			.anyMatch((call) -> call instanceof PendingCall.RecordList || call instanceof PendingCall.EntryVmList);
	}

	private void continueShutdown(List<OwnershipAction> actions) {
		boolean busy = !this.owned.isEmpty() || !this.acquisitions.isEmpty() || !this.releases.isEmpty();
		if (!this.shuttingDown || this.revoking || busy) {
			return;
		}
		this.revoking = true;
		if (this.leaseRenewer.lease().isEmpty()) {
			this.stopped = true;
			actions.add(new OwnershipAction.ShutdownComplete());
			return;
		}
		long id = this.nextId++;
		this.pendingCalls.put(id, new PendingCall.Revoke());
		actions.add(new OwnershipAction.RevokeLease(id, this.leaseRenewer.lease().get()));
	}

	private void loseAllShards(OwnershipAction.LossReason reason, List<OwnershipAction> actions) {
		this.owned.forEach((shard, ownedShard) -> {
			if (ownedShard.announced) {
				actions.add(new OwnershipAction.ShardLost(shard, ownedShard.record.epoch(), reason));
			}
		});
		this.owned.clear();
		this.acquisitions.clear();
		this.releases.clear();
		this.registration = null;
		this.registered = false;
		this.suspended = false;
	}

	/**
	 * Returns whether the outcome of a call is still needed. The loss of the lease
	 * discards all writes under it.
	 * @param call the call
	 * @return whether its write is still pending
	 */
	private boolean isCurrent(PendingCall.RecordWrite call) {
		return writes().anyMatch((write) -> write == call.write());
	}

	private Stream<RetryingWrite> writes() {
		return Stream
			.of(Stream.ofNullable(this.registration), this.acquisitions.values().stream().map(Acquisition::write),
					this.releases.values().stream())
			.flatMap((stream) -> stream);
	}

	private void writeCompleted(MonotonicTime now, PendingCall.RecordWrite call, RetryingWrite.Result result,
			List<OwnershipAction> actions) {
		if (result instanceof RetryingWrite.Result.Pending) {
			return;
		}
		if (call.shard().isEmpty()) {
			registrationCompleted(now, result);
			return;
		}
		ShardId shard = call.shard().get();
		Acquisition acquisition = this.acquisitions.remove(shard);
		if (acquisition == null) {
			this.releases.remove(shard);
		}
		if (result instanceof RetryingWrite.Result.Superseded superseded) {
			updateRecord(shard, superseded.current(), actions);
			this.nextRecordListAt = earlier(this.nextRecordListAt, now.plus(this.settings.retryInterval()));
			return;
		}
		long version = ((RetryingWrite.Result.Applied) result).version();
		if (acquisition != null) {
			this.records.put(shard,
					new KnownRecord(Optional.of(acquisition.record()), version, ++this.observationCount, true));
			this.owned.put(shard,
					new OwnedShard(acquisition.record(), version, acquisition.clean(), acquisition.previousOwner()));
		}
	}

	private void registrationCompleted(MonotonicTime now, RetryingWrite.Result result) {
		this.registration = null;
		if (result instanceof RetryingWrite.Result.Applied applied) {
			this.ownEntryVmVersion = applied.version();
			this.registered = true;
		}
		else if (result instanceof RetryingWrite.Result.Superseded superseded) {
			// An earlier process of this VM left the key, or the key lapsed; overwrite
			// the current value. The delay limits the rate of calls if two processes run
			// under one VM id.
			this.nextRegistrationAt = now.plus(this.settings.retryInterval());
			this.ownEntryVmVersion = superseded.current().map(StoredValue::version).orElse(StoreWrite.ABSENT);
		}
	}

	private void applyRecordList(ShardScope scope, List<StoredValue> values, List<OwnershipAction> actions) {
		this.listedScopes.add(scope.name());
		Map<ShardId, StoredValue> found = new HashMap<>();
		for (StoredValue value : values) {
			OwnershipKeys.parseShard(value.key(), scope.name()).ifPresent((shard) -> found.put(shard, value));
		}
		for (ShardId shard : scope.shardIds()) {
			updateRecord(shard, Optional.ofNullable(found.get(shard)), actions);
		}
	}

	private void updateRecord(ShardId shard, Optional<StoredValue> value, List<OwnershipAction> actions) {
		long version = value.map(StoredValue::version).orElse(StoreWrite.ABSENT);
		KnownRecord known = this.records.get(shard);
		if (known != null && known.version() > version) {
			// The list is older than a write that this VM already knows.
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
		this.records.put(shard, new KnownRecord(record, version, ++this.observationCount, readable));
		OwnedShard ownedShard = this.owned.get(shard);
		if (ownedShard != null && version > ownedShard.version) {
			this.owned.remove(shard);
			if (ownedShard.announced) {
				actions.add(new OwnershipAction.ShardLost(shard, ownedShard.record.epoch(),
						OwnershipAction.LossReason.TAKEN_BY_PEER));
			}
		}
	}

	private void applyEntryVmList(List<StoredValue> values, List<OwnershipAction> actions) {
		this.entryVms.clear();
		for (StoredValue value : values) {
			if (this.registered && value.key().equals(OwnershipKeys.entryVm(this.vm))
					&& value.version() > this.ownEntryVmVersion) {
				stopBecauseReplaced(value, actions);
			}
			String name = value.key().path().substring(OwnershipKeys.ENTRY_VM_PREFIX.path().length());
			try {
				this.entryVms.put(new VmId(name), EntryVmRecord.decode(value.value()));
			}
			catch (RecordFormatException | IllegalArgumentException ex) {
				actions.add(new OwnershipAction.RecordRefused(value.key(), ex.getMessage()));
			}
		}
	}

	/**
	 * Stops permanently because another process registered under this VM id. From then on
	 * peers treat the shards of this process as free.
	 * @param entry the record of the other process
	 * @param actions where to add the actions
	 */
	private void stopBecauseReplaced(StoredValue entry, List<OwnershipAction> actions) {
		loseAllShards(OwnershipAction.LossReason.TAKEN_BY_PEER, actions);
		this.stopped = true;
		actions.add(new OwnershipAction.RecordRefused(entry.key(), "another process runs under this VM id"));
	}

	private void applyPlan(MonotonicTime now, ShardScope scope, List<OwnershipAction> actions) {
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
		this.excludedUntil.values().removeIf((end) -> !now.isBefore(end));
		Map<ShardId, VmId> plan = ShardAssignment.plan(shards, owners, eligible(scope));
		for (ShardId shard : shards) {
			VmId planned = plan.get(shard);
			if (owners.containsKey(shard)) {
				this.freeSince.remove(shard);
				prepareReleaseIfSurplus(now, shard, planned, actions);
			}
			else if (this.vm.equals(planned)) {
				this.freeSince.putIfAbsent(shard, now);
				startAcquisition(now, shard);
			}
			else if (planned != null) {
				MonotonicTime since = this.freeSince.computeIfAbsent(shard, (key) -> now);
				if (!now.isBefore(since.plus(this.settings.exclusionDelay()))) {
					this.excludedUntil.put(planned, now.plus(this.settings.exclusionDuration()));
				}
			}
		}
		if (owners.size() < shards.size()) {
			this.nextRecordListAt = earlier(this.nextRecordListAt, this.nextEntryVmListAt);
		}
	}

	private List<VmId> eligible(ShardScope scope) {
		List<VmId> vms = new ArrayList<>();
		this.entryVms.forEach((peer, entry) -> {
			boolean excluded = entry.leaving() || this.leavingVms.contains(peer)
					|| this.excludedUntil.containsKey(peer);
			if (!peer.equals(this.vm) && entry.scopes().contains(scope.name()) && !excluded) {
				vms.add(peer);
			}
		});
		if (this.registered && !this.shuttingDown && !this.leavingVms.contains(this.vm)) {
			vms.add(this.vm);
		}
		return vms;
	}

	private boolean isFree(KnownRecord known) {
		if (known.record().isEmpty() || known.record().get().released()) {
			return true;
		}
		if (known.observationCount() > this.entryVmListObservation) {
			return false;
		}
		OwnershipRecord record = known.record().get();
		EntryVmRecord entry = this.entryVms.get(record.owner());
		return entry == null || !entry.lease().equals(record.lease());
	}

	private void startAcquisition(MonotonicTime now, ShardId shard) {
		boolean busy = this.acquisitions.containsKey(shard) || this.releases.containsKey(shard)
				|| this.owned.containsKey(shard);
		if (busy || !this.registered || this.shuttingDown || !this.leaseRenewer.mayCommit(now)) {
			return;
		}
		KnownRecord known = this.records.get(shard);
		Epoch epoch = known.record().map(OwnershipRecord::epoch).orElse(Epoch.NONE).next();
		OwnershipRecord record = OwnershipRecord.acquired(this.vm, this.leaseRenewer.lease().get(), epoch);
		boolean clean = known.record().map((last) -> last.released() && last.clean()).orElse(true);
		RetryingWrite write = new RetryingWrite(now, OwnershipKeys.ownershipRecord(shard), record.encode(),
				known.version(), Optional.empty(), this.settings.retryInterval());
		this.acquisitions.put(shard, new Acquisition(write, record, clean, known.record().map(OwnershipRecord::owner)));
	}

	private void prepareReleaseIfSurplus(MonotonicTime now, ShardId shard, VmId planned,
			List<OwnershipAction> actions) {
		OwnedShard ownedShard = this.owned.get(shard);
		if (ownedShard == null) {
			return;
		}
		if (planned == null || planned.equals(this.vm)) {
			ownedShard.surplusSince = null;
			return;
		}
		if (ownedShard.surplusSince == null) {
			ownedShard.surplusSince = now;
		}
		if (!now.isBefore(ownedShard.surplusSince.plus(this.settings.releaseDelay()))) {
			prepareRelease(shard, ownedShard, actions);
		}
	}

	private void prepareRelease(ShardId shard, OwnedShard ownedShard, List<OwnershipAction> actions) {
		if (ownedShard.announced && !ownedShard.releasing) {
			ownedShard.releasing = true;
			actions.add(new OwnershipAction.PrepareRelease(shard, ownedShard.record.epoch()));
		}
	}

	private void startReleaseWrite(MonotonicTime now, ShardId shard, OwnedShard ownedShard, boolean cleanRelease) {
		this.releases.put(shard,
				new RetryingWrite(now, OwnershipKeys.ownershipRecord(shard),
						ownedShard.record.asReleased(cleanRelease).encode(), ownedShard.version, Optional.empty(),
						this.settings.retryInterval()));
	}

	private static MonotonicTime earlier(MonotonicTime one, MonotonicTime other) {
		return one.isBefore(other) ? one : other;
	}

	private sealed interface PendingCall {

		record Lease() implements PendingCall {
		}

		record Revoke() implements PendingCall {
		}

		record RecordWrite(RetryingWrite write, Optional<ShardId> shard) implements PendingCall {
		}

		record RecordList(ShardScope scope) implements PendingCall {
		}

		record EntryVmList(long observationCount) implements PendingCall {
		}

	}

	private record KnownRecord(Optional<OwnershipRecord> record, long version, long observationCount,
			boolean readable) {
	}

	private record Acquisition(RetryingWrite write, OwnershipRecord record, boolean clean,
			Optional<VmId> previousOwner) {
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
