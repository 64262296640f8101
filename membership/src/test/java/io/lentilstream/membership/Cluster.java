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
 * Runs several processes over a network and a store in memory, in virtual time.
 */
final class Cluster {

	private static final int TICK_MILLIS = 100;

	final Map<VmId, Node> nodes = new TreeMap<>();

	final Map<StoreKey, Long> accepted = new TreeMap<>();

	final Set<String> cuts = new HashSet<>();

	final Random random;

	double loss;

	boolean storeDown;

	boolean missNextEvent;

	boolean staleLists;

	boolean loseDocuments;

	private final Map<StoreKey, StoredValue> stored = new TreeMap<>();

	private final Map<StoreKey, StoredValue> earlier = new TreeMap<>();

	private final List<StoredValue> events = new ArrayList<>();

	private final PriorityQueue<Event> queue = new PriorityQueue<>();

	private long compactedTo;

	private long now;

	private long order;

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
	 * Changes a document in the store.
	 * @param name the name of the team
	 * @return whether the store was up
	 */
	boolean accept(String name) {
		if (this.storeDown) {
			return false;
		}
		StoreKey key = new StoreKey("/teams/" + name);
		long revision = this.accepted.merge(key, 1L, Long::sum);
		StoredValue before = this.stored.get(key);
		if (before != null) {
			this.earlier.put(key, before);
		}
		StoredValue value = new StoredValue(key, Long.toString(revision).getBytes(StandardCharsets.UTF_8),
				this.events.size() + 1);
		this.stored.put(key, value);
		this.events.add(value);
		return true;
	}

	void compact() {
		this.compactedTo = this.events.size();
	}

	void cutBothWays(String first, String second) {
		cutOneWay(first, second);
		cutOneWay(second, first);
	}

	void cutOneWay(String from, String to) {
		this.cuts.add(from + ">" + to);
	}

	void heal() {
		this.cuts.clear();
		this.loss = 0;
		this.storeDown = false;
		this.missNextEvent = false;
		this.staleLists = false;
	}

	void run(long millis) {
		long end = this.now + millis;
		while (!this.queue.isEmpty() && this.queue.peek().at() <= end) {
			Event event = this.queue.remove();
			this.now = event.at();
			event.action().run();
		}
		this.now = end;
	}

	private void later(long millis, Runnable action) {
		this.queue.add(new Event(this.now + millis, this.order++, action));
	}

	private boolean isCut(Node from, String to, VmId toVm) {
		return this.cuts.contains(from.zone.value() + ">" + to) || this.cuts.contains(from.vm + ">" + toVm)
				|| this.cuts.contains(from.vm + ">" + to);
	}

	private boolean isCut(Node from, Node to) {
		return isCut(from, to.zone.value(), to.vm);
	}

	private boolean reachesStore(Node node) {
		return !this.storeDown && !isCut(node, "store", node.vm);
	}

	static Optional<SettingsDocument> read(StoreKey key, byte[] value) {
		String text = new String(value, StandardCharsets.UTF_8);
		return text.matches("[0-9]+")
				? Optional.of(new SettingsDocument(key, new Revision(Long.parseLong(text)), new Bytes(value)))
				: Optional.empty();
	}

	private record Event(long at, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int first = Long.compare(this.at, other.at);
			return (first != 0) ? first : Long.compare(this.order, other.order);
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
			this.replica = new SettingsReplica(self, MembershipTiming.defaults(), Cluster::read, this.view,
					Cluster.this.random);
			this.inForce = new HashMap<>();
			for (Node other : Cluster.this.nodes.values()) {
				if (this.linked.remove(other.vm)) {
					other.unlink(this);
				}
			}
			List<PeerAddress> all = new ArrayList<>();
			Cluster.this.nodes.values().forEach((node) -> all.add(new PeerAddress(node.vm, node.zone, "a:1")));
			act(this.view.addConfiguredPeers(time(), all));
			tick(this.incarnation);
		}

		private void unlink(Node other) {
			this.linked.remove(other.vm);
			act(this.view.linkDown(time(), other.vm));
		}

		private void tick(long run) {
			if (run != this.incarnation) {
				return;
			}
			for (Node other : Cluster.this.nodes.values()) {
				boolean bothCut = isCut(this, other) && isCut(other, this);
				if (other != this && this.linked.contains(other.vm) == bothCut && other.view != null) {
					relink(other, bothCut);
				}
			}
			act(this.replica.tick(time()));
			act(this.view.tick(time(),
					new LocalState(this.replica.isReady(), this.replica.digest(), Map.of(), Map.of())));
			later(TICK_MILLIS, () -> tick(run));
		}

		private void relink(Node other, boolean bothCut) {
			if (bothCut) {
				unlink(other);
				other.unlink(this);
			}
			else if (!isCut(this, other) && !isCut(other, this)) {
				this.linked.add(other.vm);
				other.linked.add(this.vm);
				act(this.view.linkUp(time(), new LocalPeer(other.vm, other.zone, other.incarnation)));
				other.act(other.view.linkUp(time(), new LocalPeer(this.vm, this.zone, this.incarnation)));
			}
		}

		private void act(List<MembershipAction> actions) {
			for (MembershipAction action : actions) {
				if (action instanceof MembershipAction.Send send) {
					transmit(Cluster.this.nodes.get(send.to()), send.message());
				}
				else if (action instanceof MembershipAction.ListStore list) {
					this.calls.add("list " + list.prefix());
					later(5, () -> list(list, this.incarnation));
				}
				else if (action instanceof MembershipAction.WatchStore watch) {
					this.calls.add("watch " + watch.prefix());
					watch(watch, this.incarnation, Cluster.this.now + watch.maxWait().toMillis());
				}
				else if (action instanceof MembershipAction.DocumentApplied applied) {
					check(applied.document());
				}
			}
		}

		private void check(SettingsDocument document) {
			Revision before = this.inForce.put(document.key(), document.revision());
			if (before != null && before.compareTo(document.revision()) >= 0) {
				this.regressions.add(this.vm + " went from " + before + " to " + document);
			}
		}

		private void transmit(Node to, PeerMessage message) {
			boolean lostDocument = Cluster.this.loseDocuments && message instanceof PeerMessage.Document;
			if (lostDocument || !this.linked.contains(to.vm) || isCut(this, to)
					|| Cluster.this.random.nextDouble() < Cluster.this.loss) {
				return;
			}
			long run = to.incarnation;
			later(1 + Cluster.this.random.nextInt(20), () -> {
				if (to.incarnation == run) {
					to.receive(this.vm, message);
				}
			});
		}

		private void receive(VmId from, PeerMessage message) {
			if (message instanceof PeerMessage.Heartbeat heartbeat) {
				act(this.view.heartbeatReceived(time(), from, heartbeat));
				act(this.replica.heartbeatReceived(time(), from, heartbeat));
			}
			else if (message instanceof PeerMessage.Document document) {
				act(this.replica.documentReceived(time(), from, document));
			}
			else if (message instanceof PeerMessage.FetchDocuments fetch) {
				act(this.replica.fetchReceived(time(), from, fetch));
			}
		}

		private void list(MembershipAction.ListStore call, long run) {
			if (run != this.incarnation) {
				return;
			}
			ListOutcome outcome = new ListOutcome.Unavailable("down");
			if (reachesStore(this)) {
				Map<StoreKey, StoredValue> values = new TreeMap<>(Cluster.this.stored);
				if (Cluster.this.staleLists) {
					values.putAll(Cluster.this.earlier);
				}
				values.keySet().removeIf((key) -> !key.path().startsWith(call.prefix().path()));
				outcome = new ListOutcome.Listed(List.copyOf(values.values()), Cluster.this.events.size());
			}
			act(this.replica.listCompleted(time(), call, outcome));
		}

		private void watch(MembershipAction.WatchStore call, long run, long end) {
			if (run != this.incarnation) {
				return;
			}
			Optional<WatchOutcome> outcome = poll(call);
			if (outcome.isPresent() || Cluster.this.now >= end) {
				act(this.replica.watchCompleted(time(), call,
						outcome.orElseGet(() -> new WatchOutcome.Changes(List.of(), List.of(), call.afterRevision()))));
			}
			else {
				later(10, () -> watch(call, run, end));
			}
		}

		private Optional<WatchOutcome> poll(MembershipAction.WatchStore call) {
			if (!reachesStore(this)) {
				return Optional.of(new WatchOutcome.Unavailable("down"));
			}
			if (call.afterRevision() < Cluster.this.compactedTo) {
				return Optional.of(new WatchOutcome.Compacted());
			}
			int from = (int) call.afterRevision();
			if (from >= Cluster.this.events.size() || !call.prefix().equals(SettingsReplica.TEAMS)) {
				return Optional.empty();
			}
			List<StoredValue> changed = List.copyOf(Cluster.this.events.subList(from, Cluster.this.events.size()));
			if (Cluster.this.missNextEvent) {
				Cluster.this.missNextEvent = false;
				changed = List.of();
			}
			return Optional.of(new WatchOutcome.Changes(changed, List.of(), Cluster.this.events.size()));
		}

		private MonotonicTime time() {
			// Clocks of different processes have different origins.
			return MonotonicTime.ofMillis(Cluster.this.now + this.vm.hashCode());
		}

	}

}
