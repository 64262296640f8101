package io.lentilstream.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Revision;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.PeerMessage.Bytes;

/**
 * Simulates the processes of several zones, their network and the store, in virtual time.
 */
final class Cluster {

	private static final int TICK_MILLIS = 100;

	final Map<VmId, Node> nodes = new TreeMap<>();

	final Map<StoreKey, Long> writtenRevisions = new TreeMap<>();

	final Set<String> blockedRoutes = new HashSet<>();

	final Random random;

	double lossRate;

	boolean storeDown;

	boolean skipNextEvent;

	boolean staleLists;

	boolean dropDocuments;

	private final Map<StoreKey, StoredValue> stored = new TreeMap<>();

	private final Map<StoreKey, StoredValue> previousValues = new TreeMap<>();

	private final List<StoredValue> events = new ArrayList<>();

	private final PriorityQueue<Event> queue = new PriorityQueue<>();

	private long compactedRevision;

	private long now;

	private long nextEventNumber;

	private long incarnations;

	Cluster(long seed, int... nodesPerZone) {
		this.random = new Random(seed);
		for (int zone = 0; zone < nodesPerZone.length; zone++) {
			for (int i = 0; i < nodesPerZone[zone]; i++) {
				VmId vm = new VmId("entry-" + (char) ('a' + zone) + i);
				this.nodes.put(vm, new Node(vm, new AvailabilityZoneId("zone-" + (char) ('a' + zone))));
			}
		}
		this.nodes.values().forEach(Node::start);
	}

	/**
	 * Writes the next revision of a document to the store.
	 * @param name the name of the team
	 * @return whether the store was available
	 */
	boolean writeDocument(String name) {
		if (this.storeDown) {
			return false;
		}
		StoreKey key = new StoreKey("/teams/" + name);
		long revision = this.writtenRevisions.merge(key, 1L, Long::sum);
		StoredValue before = this.stored.get(key);
		if (before != null) {
			this.previousValues.put(key, before);
		}
		StoredValue value = new StoredValue(key, Long.toString(revision).getBytes(StandardCharsets.UTF_8),
				this.events.size() + 1);
		this.stored.put(key, value);
		this.events.add(value);
		return true;
	}

	void compact() {
		this.compactedRevision = this.events.size();
	}

	void blockBothWays(String first, String second) {
		blockOneWay(first, second);
		blockOneWay(second, first);
	}

	void blockOneWay(String from, String to) {
		this.blockedRoutes.add(from + ">" + to);
	}

	void endFaults() {
		this.blockedRoutes.clear();
		this.lossRate = 0;
		this.storeDown = false;
		this.skipNextEvent = false;
		this.staleLists = false;
	}

	void advance(long millis) {
		long end = this.now + millis;
		while (!this.queue.isEmpty() && this.queue.peek().time() <= end) {
			Event event = this.queue.remove();
			this.now = event.time();
			event.action().run();
		}
		this.now = end;
	}

	private void schedule(long millis, Runnable action) {
		this.queue.add(new Event(this.now + millis, this.nextEventNumber++, action));
	}

	private boolean isBlocked(Node from, String to, VmId toVm) {
		return this.blockedRoutes.contains(from.zone.value() + ">" + to)
				|| this.blockedRoutes.contains(from.vm + ">" + toVm) || this.blockedRoutes.contains(from.vm + ">" + to);
	}

	private boolean isBlocked(Node from, Node to) {
		return isBlocked(from, to.zone.value(), to.vm);
	}

	private boolean canReachStore(Node node) {
		return !this.storeDown && !isBlocked(node, "store", node.vm);
	}

	static Optional<SettingsDocument> parse(StoreKey key, byte[] value) {
		String text = new String(value, StandardCharsets.UTF_8);
		return text.matches("[0-9]+")
				? Optional.of(new SettingsDocument(key, new Revision(Long.parseLong(text)), new Bytes(value)))
				: Optional.empty();
	}

	private record Event(long time, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.time, other.time);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	/**
	 * One VM with the process that runs on it.
	 */
	final class Node {

		final VmId vm;

		final AvailabilityZoneId zone;

		final List<String> regressions = new ArrayList<>();

		final List<String> calls = new ArrayList<>();

		MembershipView view;

		SettingsReplica replica;

		private long incarnation;

		private final Set<VmId> linked = new HashSet<>();

		private Map<StoreKey, Revision> inForce = new HashMap<>();

		Node(VmId vm, AvailabilityZoneId zone) {
			this.vm = vm;
			this.zone = zone;
		}

		void start() {
			this.incarnation = ++Cluster.this.incarnations;
			LocalPeer self = new LocalPeer(this.vm, this.zone, this.incarnation);
			this.view = new MembershipView(self, MembershipTiming.defaults());
			this.replica = new SettingsReplica(self, MembershipTiming.defaults(), Cluster::parse, this.view,
					Cluster.this.random);
			this.inForce = new HashMap<>();
			for (Node other : Cluster.this.nodes.values()) {
				if (this.linked.remove(other.vm)) {
					other.unlink(this);
				}
			}
			List<PeerAddress> all = new ArrayList<>();
			Cluster.this.nodes.values().forEach((node) -> all.add(new PeerAddress(node.vm, node.zone, "a:1")));
			perform(this.view.addConfiguredPeers(time(), all));
			tick(this.incarnation);
		}

		private void unlink(Node other) {
			this.linked.remove(other.vm);
			perform(this.view.linkDown(time(), other.vm));
		}

		private void tick(long processIncarnation) {
			if (processIncarnation != this.incarnation) {
				return;
			}
			for (Node other : Cluster.this.nodes.values()) {
				boolean bothBlocked = isBlocked(this, other) && isBlocked(other, this);
				if (other != this && this.linked.contains(other.vm) == bothBlocked && other.view != null) {
					updateLink(other, bothBlocked);
				}
			}
			perform(this.replica.tick(time()));
			perform(this.view.tick(time(),
					new LocalState(this.replica.isReady(), this.replica.digest(), Map.of(), Map.of())));
			schedule(TICK_MILLIS, () -> tick(processIncarnation));
		}

		private void updateLink(Node other, boolean bothBlocked) {
			if (bothBlocked) {
				unlink(other);
				other.unlink(this);
			}
			else if (!isBlocked(this, other) && !isBlocked(other, this)) {
				this.linked.add(other.vm);
				other.linked.add(this.vm);
				perform(this.view.linkUp(time(), new LocalPeer(other.vm, other.zone, other.incarnation)));
				other.perform(other.view.linkUp(time(), new LocalPeer(this.vm, this.zone, this.incarnation)));
			}
		}

		private void perform(List<MembershipAction> actions) {
			for (MembershipAction action : actions) {
				if (action instanceof MembershipAction.Send send) {
					sendMessage(Cluster.this.nodes.get(send.to()), send.message());
				}
				else if (action instanceof MembershipAction.ListStore list) {
					this.calls.add("list " + list.prefix());
					schedule(5, () -> completeList(list, this.incarnation));
				}
				else if (action instanceof MembershipAction.WatchStore watch) {
					this.calls.add("watch " + watch.prefix());
					pollWatch(watch, this.incarnation, Cluster.this.now + watch.maxWait().toMillis());
				}
				else if (action instanceof MembershipAction.DocumentApplied applied) {
					checkRevision(applied.document());
				}
			}
		}

		private void checkRevision(SettingsDocument document) {
			Revision before = this.inForce.put(document.key(), document.revision());
			if (before != null && before.compareTo(document.revision()) >= 0) {
				this.regressions.add(this.vm + " replaced revision " + before + " by " + document);
			}
		}

		private void sendMessage(Node to, PeerMessage message) {
			boolean dropped = Cluster.this.dropDocuments && message instanceof PeerMessage.Document;
			if (dropped || !this.linked.contains(to.vm) || isBlocked(this, to)
					|| Cluster.this.random.nextDouble() < Cluster.this.lossRate) {
				return;
			}
			long processIncarnation = to.incarnation;
			schedule(1 + Cluster.this.random.nextInt(20), () -> {
				if (to.incarnation == processIncarnation) {
					to.receive(this.vm, message);
				}
			});
		}

		private void receive(VmId from, PeerMessage message) {
			if (message instanceof PeerMessage.Heartbeat heartbeat) {
				perform(this.view.heartbeatReceived(time(), from, heartbeat));
				perform(this.replica.heartbeatReceived(time(), from, heartbeat));
			}
			else if (message instanceof PeerMessage.Document document) {
				perform(this.replica.documentReceived(time(), from, document));
			}
			else if (message instanceof PeerMessage.FetchDocuments fetch) {
				perform(this.replica.fetchReceived(time(), from, fetch));
			}
		}

		private void completeList(MembershipAction.ListStore call, long processIncarnation) {
			if (processIncarnation != this.incarnation) {
				return;
			}
			ListOutcome outcome = new ListOutcome.Unavailable("down");
			if (canReachStore(this)) {
				Map<StoreKey, StoredValue> values = new TreeMap<>(Cluster.this.stored);
				if (Cluster.this.staleLists) {
					values.putAll(Cluster.this.previousValues);
				}
				values.keySet().removeIf((key) -> !key.path().startsWith(call.prefix().path()));
				outcome = new ListOutcome.Listed(List.copyOf(values.values()), Cluster.this.events.size());
			}
			perform(this.replica.listCompleted(time(), call, outcome));
		}

		private void pollWatch(MembershipAction.WatchStore call, long processIncarnation, long end) {
			if (processIncarnation != this.incarnation) {
				return;
			}
			Optional<WatchOutcome> outcome = readChanges(call);
			if (outcome.isPresent() || Cluster.this.now >= end) {
				perform(this.replica.watchCompleted(time(), call,
						outcome.orElseGet(() -> new WatchOutcome.Changes(List.of(), List.of(), call.afterRevision()))));
			}
			else {
				schedule(10, () -> pollWatch(call, processIncarnation, end));
			}
		}

		private Optional<WatchOutcome> readChanges(MembershipAction.WatchStore call) {
			if (!canReachStore(this)) {
				return Optional.of(new WatchOutcome.Unavailable("down"));
			}
			if (call.afterRevision() < Cluster.this.compactedRevision) {
				return Optional.of(new WatchOutcome.Compacted());
			}
			int from = (int) call.afterRevision();
			if (from >= Cluster.this.events.size() || !call.prefix().equals(SettingsReplica.TEAMS)) {
				return Optional.empty();
			}
			List<StoredValue> changed = List.copyOf(Cluster.this.events.subList(from, Cluster.this.events.size()));
			if (Cluster.this.skipNextEvent) {
				Cluster.this.skipNextEvent = false;
				changed = List.of();
			}
			return Optional.of(new WatchOutcome.Changes(changed, List.of(), Cluster.this.events.size()));
		}

		private MonotonicTime time() {
			// The clocks of the processes have different origins.
			return MonotonicTime.ofMillis(Cluster.this.now + this.vm.hashCode());
		}

	}

}
