package io.lentilstream.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.membership.MembershipAction.DocumentApplied;
import io.lentilstream.membership.MembershipAction.DocumentRefused;
import io.lentilstream.membership.MembershipAction.ListStore;
import io.lentilstream.membership.MembershipAction.Send;
import io.lentilstream.membership.MembershipAction.SettingsReady;
import io.lentilstream.membership.MembershipAction.WatchStore;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Revision;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerMessage.Document;
import io.lentilstream.wire.PeerMessage.FetchDocuments;
import io.lentilstream.wire.PeerMessage.Heartbeat;
import io.lentilstream.wire.SettingsDigest;

/**
 * Decides which settings documents are in force in this process. A document is applied as
 * a whole and only if its revision is higher than the one in force, whatever its source.
 */
public final class SettingsReplica {

	/**
	 * The prefix of the documents of teams.
	 */
	public static final StoreKey TEAMS = new StoreKey("/teams/");

	/**
	 * The document of the platform.
	 */
	public static final StoreKey PLATFORM = new StoreKey("/platform");

	/**
	 * Maximum number of document bytes in the reply to one comparison, so that a peer
	 * that catches up cannot fill the send queue of a link. The remaining documents
	 * follow with the next comparison.
	 */
	static final int MAX_REPLY_BYTES = 1 << 20;

	private static final String STORE = "store";

	private final LocalPeer self;

	private final MembershipTiming timing;

	private final DocumentParser parser;

	private final MembershipView view;

	private final DocumentSet documents = new DocumentSet();

	private final List<StoreWatch> watches = new ArrayList<>();

	private final Map<VmId, PeerSync> peerSyncs = new TreeMap<>();

	private final Map<String, Long> pendingNotices = new HashMap<>();

	private MonotonicTime noticesDueAt;

	private MonotonicTime startedAt;

	private MonotonicTime nextWatchAt;

	private MonotonicTime nextPeerRequestAt;

	private int peerRequests;

	private boolean ready;

	/**
	 * Creates a replica without documents.
	 * @param self the identity of this process
	 * @param timing the intervals
	 * @param parser the parser of documents
	 * @param view the view of the peers
	 * @param random the source of jitter
	 */
	public SettingsReplica(LocalPeer self, MembershipTiming timing, DocumentParser parser, MembershipView view,
			RandomGenerator random) {
		this.self = self;
		this.timing = timing;
		this.parser = parser;
		this.view = view;
		this.watches.add(new StoreWatch(TEAMS, timing, random));
		this.watches.add(new StoreWatch(PLATFORM, timing, random));
	}

	/**
	 * Starts the store calls, notices and comparisons that are due. Must be called at
	 * least every 100 ms.
	 * @param now the time
	 * @return the actions
	 */
	public synchronized List<MembershipAction> tick(MonotonicTime now) {
		if (this.startedAt == null) {
			this.startedAt = now;
		}
		List<MembershipAction> actions = new ArrayList<>();
		this.peerSyncs.keySet().removeIf((vm) -> !this.view.isKnown(vm));
		callStore(now, actions);
		if (!this.ready) {
			requestFromPeers(now);
			checkReady(now, actions);
		}
		sendNotices(now, actions);
		for (Map.Entry<VmId, PeerSync> sync : this.peerSyncs.entrySet()) {
			sendDueFetch(now, sync.getKey(), sync.getValue(), actions);
		}
		return actions;
	}

	/**
	 * Processes the outcome of a list.
	 * @param now the time
	 * @param call the action that asked for it
	 * @param outcome the outcome
	 * @return the actions
	 */
	public synchronized List<MembershipAction> listCompleted(MonotonicTime now, ListStore call, ListOutcome outcome) {
		List<MembershipAction> actions = new ArrayList<>();
		StoreWatch watch = findWatch(call.prefix());
		boolean current = watch.endCall(call.callId());
		if (outcome instanceof ListOutcome.Listed listed) {
			applyFromStore(now, listed.values(), actions);
			if (current) {
				watch.listSucceeded(now, listed.revision());
			}
		}
		else if (current) {
			watch.callFailed(now);
		}
		checkReady(now, actions);
		return actions;
	}

	/**
	 * Processes the outcome of a watch. Deleted keys are ignored: a document is emptied
	 * by a new revision, never by deleting its key.
	 * @param now the time
	 * @param call the action that asked for it
	 * @param outcome the outcome
	 * @return the actions
	 */
	public synchronized List<MembershipAction> watchCompleted(MonotonicTime now, WatchStore call,
			WatchOutcome outcome) {
		List<MembershipAction> actions = new ArrayList<>();
		StoreWatch watch = findWatch(call.prefix());
		boolean current = watch.endCall(call.callId());
		if (outcome instanceof WatchOutcome.Changes changes) {
			applyFromStore(now, changes.changed(), actions);
			if (current) {
				watch.watchSucceeded(changes.revision());
			}
		}
		else if (current && outcome instanceof WatchOutcome.Compacted) {
			watch.watchCompacted();
		}
		else if (current) {
			watch.callFailed(now);
		}
		return actions;
	}

	/**
	 * Processes a document from a peer; one with an unknown path is ignored.
	 * @param now the time
	 * @param from the sender
	 * @param document the document
	 * @return the actions
	 */
	public synchronized List<MembershipAction> documentReceived(MonotonicTime now, VmId from, Document document) {
		List<MembershipAction> actions = new ArrayList<>();
		if (isDocumentPath(document.path())) {
			parseAndApply(now, new StoreKey(document.path()), document.content().array(), from, actions);
		}
		return actions;
	}

	/**
	 * Processes the revisions that a peer has, and replies with the newer documents in
	 * the buckets that it requests.
	 * @param now the time
	 * @param from the sender
	 * @param fetch the revisions that the peer has and the buckets that it requests
	 * @return the actions
	 */
	public synchronized List<MembershipAction> fetchReceived(MonotonicTime now, VmId from, FetchDocuments fetch) {
		List<MembershipAction> actions = new ArrayList<>();
		boolean allSent = sendRequestedDocuments(from, fetch, actions);
		if (allSent && fetch.buckets() == SettingsDigest.ALL_BUCKETS) {
			actions.add(new Send(from,
					new FetchDocuments(0, this.documents.revisionsByPath(SettingsDigest.ALL_BUCKETS), this.ready)));
		}
		int missingBuckets = 0;
		for (Map.Entry<String, Long> entry : fetch.held().entrySet()) {
			if (isDocumentPath(entry.getKey())
					&& this.documents.revisionOf(new StoreKey(entry.getKey())).value() < entry.getValue()) {
				missingBuckets |= 1 << SettingsDigest.bucketOf(entry.getKey());
			}
		}
		PeerSync sync = syncWith(from);
		if (missingBuckets != 0) {
			sync.requestBuckets(missingBuckets);
			sendDueFetch(now, from, sync, actions);
		}
		else if (fetch.complete()) {
			sync.markComplete();
		}
		checkReady(now, actions);
		return actions;
	}

	/**
	 * Compares the digest of a peer with that of this process.
	 * @param now the time
	 * @param from the sender
	 * @param heartbeat the heartbeat
	 * @return the actions
	 */
	public synchronized List<MembershipAction> heartbeatReceived(MonotonicTime now, VmId from, Heartbeat heartbeat) {
		List<MembershipAction> actions = new ArrayList<>();
		int newerBuckets = this.documents.possiblyNewerBuckets(heartbeat.digest());
		// Only watchers compare with other zones; the other VMs receive everything from
		// the watchers of their own zone.
		boolean sameZone = this.view.peer(from).map((peer) -> peer.zone().equals(this.self.zone())).orElse(false);
		if (newerBuckets != 0 && (sameZone || isWatcher())) {
			PeerSync sync = syncWith(from);
			sync.requestBuckets(newerBuckets);
			sendDueFetch(now, from, sync, actions);
		}
		return actions;
	}

	/**
	 * Returns whether a complete set of settings is in force.
	 * @return whether the process may serve
	 */
	public synchronized boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns the digest for heartbeats.
	 * @return the digest of the documents in force
	 */
	public synchronized SettingsDigest digest() {
		return this.documents.digest();
	}

	/**
	 * Returns the revision of a document.
	 * @param key the key of the document
	 * @return the revision in force; {@link Revision#NONE} if there is none
	 */
	public synchronized Revision revisionOf(StoreKey key) {
		return this.documents.revisionOf(key);
	}

	/**
	 * Returns the documents in force.
	 * @return the documents in the order of their keys
	 */
	public synchronized List<SettingsDocument> documents() {
		return List.copyOf(this.documents.all());
	}

	/**
	 * Returns one document in force.
	 * @param key the key of the document
	 * @return the document, or empty if there is none
	 */
	public synchronized Optional<SettingsDocument> document(StoreKey key) {
		return this.documents.document(key);
	}

	/**
	 * Returns which entry VMs have a revision in force, according to the last digests
	 * that they reported.
	 * @param key the key of the document
	 * @param revision the revision
	 * @return the report; peers that are gone are not listed
	 */
	public synchronized InForceReport inForce(StoreKey key, Revision revision) {
		List<VmId> inForce = new ArrayList<>();
		List<VmId> behind = new ArrayList<>();
		List<VmId> unknown = new ArrayList<>();
		boolean ownInForce = this.documents.revisionOf(key).compareTo(revision) >= 0;
		(ownInForce ? inForce : behind).add(this.self.vm());
		for (PeerInfo peer : this.view.peers()) {
			if (peer.state() == PeerState.GONE) {
				continue;
			}
			Optional<Boolean> has = peer.digest().flatMap((digest) -> this.documents.hasInForce(key, revision, digest));
			List<VmId> group = has.map((isInForce) -> isInForce ? inForce : behind).orElse(unknown);
			group.add(peer.vm());
		}
		return new InForceReport(inForce, behind, unknown);
	}

	/**
	 * Returns whether this process watches the store.
	 * @return whether it is one of the lowest two live ids of its zone
	 */
	public boolean isWatcher() {
		return this.view.watchers(this.self.zone()).contains(this.self.vm());
	}

	private void callStore(MonotonicTime now, List<MembershipAction> actions) {
		boolean watching = isWatcher();
		// The minimum interval applies to both prefixes together; the one whose last
		// call is older comes first.
		this.watches.sort(Comparator.comparingLong(StoreWatch::lastCallNanos));
		for (StoreWatch watch : this.watches) {
			boolean watchAllowed = this.nextWatchAt == null || !now.isBefore(this.nextWatchAt);
			Optional<MembershipAction> call = watch.startDueCall(now, watching, this.ready, watchAllowed);
			call.ifPresent(actions::add);
			if (call.isPresent() && call.get() instanceof WatchStore) {
				this.nextWatchAt = now.plus(this.timing.minWatchInterval());
			}
		}
	}

	private StoreWatch findWatch(StoreKey prefix) {
		for (StoreWatch watch : this.watches) {
			if (watch.prefix().equals(prefix)) {
				return watch;
			}
		}
		throw new IllegalStateException("store call outcome for an unknown prefix");
	}

	private PeerSync syncWith(VmId vm) {
		return this.peerSyncs.computeIfAbsent(vm, (id) -> new PeerSync(this.timing));
	}

	private void applyFromStore(MonotonicTime now, List<StoredValue> values, List<MembershipAction> actions) {
		for (StoredValue value : values) {
			if (isDocumentPath(value.key().path())) {
				parseAndApply(now, value.key(), value.value(), null, actions);
			}
		}
	}

	private void parseAndApply(MonotonicTime now, StoreKey key, byte[] bytes, VmId from,
			List<MembershipAction> actions) {
		Optional<SettingsDocument> document = this.parser.parse(key, bytes);
		if (document.isEmpty()) {
			actions.add(new DocumentRefused(key, (from != null) ? from.value() : STORE));
		}
		else if (this.documents.apply(document.get())) {
			actions.add(new DocumentApplied(document.get()));
			relay(now, document.get(), from, actions);
		}
	}

	private void relay(MonotonicTime now, SettingsDocument document, VmId from, List<MembershipAction> actions) {
		List<VmId> watchers = this.view.watchers(this.self.zone());
		// A starting process still receives the documents of its peers and has nothing
		// newer to relay.
		if (!this.ready || !watchers.contains(this.self.vm())) {
			return;
		}
		if (watchers.get(0).equals(this.self.vm())) {
			for (VmId peer : this.view.liveEntryVms(this.self.zone())) {
				if (!peer.equals(this.self.vm()) && !peer.equals(from)) {
					actions.add(new Send(peer, messageOf(document)));
				}
			}
		}
		this.pendingNotices.put(document.key().path(), document.revision().value());
		if (this.noticesDueAt == null) {
			this.noticesDueAt = now.plus(this.timing.noticeDelay());
		}
	}

	private void sendNotices(MonotonicTime now, List<MembershipAction> actions) {
		if (this.noticesDueAt == null || now.isBefore(this.noticesDueAt)) {
			return;
		}
		FetchDocuments notice = new FetchDocuments(0, this.pendingNotices, false);
		this.pendingNotices.clear();
		this.noticesDueAt = null;
		List<VmId> receivers = new ArrayList<>();
		List<VmId> watchers = this.view.watchers(this.self.zone());
		if (watchers.indexOf(this.self.vm()) > 0) {
			receivers.addAll(this.view.liveEntryVms(this.self.zone()));
			receivers.remove(this.self.vm());
		}
		for (AvailabilityZoneId zone : this.view.otherZones()) {
			receivers.addAll(this.view.watchers(zone));
		}
		for (VmId receiver : receivers) {
			actions.add(new Send(receiver, notice));
		}
	}

	private boolean sendRequestedDocuments(VmId to, FetchDocuments fetch, List<MembershipAction> actions) {
		int bytes = 0;
		for (SettingsDocument document : this.documents.all()) {
			long peerRevision = fetch.held().getOrDefault(document.key().path(), 0L);
			if (DocumentSet.isInBuckets(document.key(), fetch.buckets())
					&& document.revision().value() > peerRevision) {
				bytes += document.content().array().length;
				if (bytes > MAX_REPLY_BYTES) {
					return false;
				}
				actions.add(new Send(to, messageOf(document)));
			}
		}
		return true;
	}

	private void sendDueFetch(MonotonicTime now, VmId from, PeerSync sync, List<MembershipAction> actions) {
		sync.pollDueBuckets(now)
			.ifPresent((buckets) -> actions
				.add(new Send(from, new FetchDocuments(buckets, this.documents.revisionsByPath(buckets), false))));
	}

	private void requestFromPeers(MonotonicTime now) {
		// The store usually replies first, and a full list from it needs no
		// documents of peers.
		if (now.isBefore(this.startedAt.plus(this.timing.minFetchInterval()))) {
			return;
		}
		List<PeerInfo> peers = readyPeers();
		List<PeerInfo> incomplete = peers.stream().filter((peer) -> !syncWith(peer.vm()).isComplete()).toList();
		if (incomplete.size() < peers.size()) {
			// With one complete set received, the other peers send only newer documents.
			incomplete.forEach((peer) -> syncWith(peer.vm()).requestBuckets(SettingsDigest.ALL_BUCKETS));
		}
		else if (!incomplete.isEmpty() && (this.nextPeerRequestAt == null || !now.isBefore(this.nextPeerRequestAt))) {
			this.nextPeerRequestAt = now.plus(this.timing.minFetchInterval());
			syncWith(incomplete.get(this.peerRequests++ % incomplete.size()).vm())
				.requestBuckets(SettingsDigest.ALL_BUCKETS);
		}
	}

	private List<PeerInfo> readyPeers() {
		return this.view.peers()
			.stream()
			.filter((peer) -> peer.state() == PeerState.LIVE && peer.settingsReady())
			.toList();
	}

	private void checkReady(MonotonicTime now, List<MembershipAction> actions) {
		if (this.ready) {
			return;
		}
		boolean fromStore = this.watches.stream().allMatch(StoreWatch::isListed);
		if (fromStore || isCompleteFromPeers(now)) {
			this.ready = true;
			actions.add(new SettingsReady(fromStore));
		}
	}

	private boolean isCompleteFromPeers(MonotonicTime now) {
		if (this.startedAt == null || now.isBefore(this.startedAt.plus(this.timing.startupPeerWait()))) {
			return false;
		}
		List<PeerInfo> peers = readyPeers();
		return !peers.isEmpty() && peers.stream().allMatch((peer) -> syncWith(peer.vm()).isComplete());
	}

	private static Document messageOf(SettingsDocument document) {
		return new Document(document.key().path(), document.revision(), document.content());
	}

	private static boolean isDocumentPath(String path) {
		return path.equals(PLATFORM.path())
				|| (path.startsWith(TEAMS.path()) && path.indexOf('/', TEAMS.path().length()) < 0);
	}

}
