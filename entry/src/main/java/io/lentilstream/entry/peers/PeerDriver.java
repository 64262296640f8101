package io.lentilstream.entry.peers;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.clients.StoreClient;
import io.lentilstream.membership.LocalState;
import io.lentilstream.membership.MembershipAction;
import io.lentilstream.membership.MembershipView;
import io.lentilstream.membership.PeerState;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.membership.SettingsReplica;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.LocalPeer;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerListener;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.PeerTransport;

/**
 * The I/O driver of the membership view and the settings replica.
 */
public final class PeerDriver implements PeerListener, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "peers: ";

	private static final long TICK_MILLIS = 50;

	private final MembershipView view;

	private final SettingsReplica replica;

	private final StoreClient store;

	private final MonotonicClock clock;

	private final Supplier<LocalState> localState;

	private final Listener listener;

	private PeerTransport transport;

	private ScheduledFuture<?> tickTask;

	private volatile boolean closed;

	/**
	 * Creates a driver.
	 * @param view the membership view
	 * @param replica the replica of the settings documents
	 * @param store lists and watches settings
	 * @param clock the monotonic clock
	 * @param localState supplies the state that heartbeats report
	 * @param listener receives the events that concern other components
	 */
	public PeerDriver(MembershipView view, SettingsReplica replica, StoreClient store, MonotonicClock clock,
			Supplier<LocalState> localState, Listener listener) {
		this.view = view;
		this.replica = replica;
		this.store = store;
		this.clock = clock;
		this.localState = localState;
		this.listener = listener;
	}

	/**
	 * Starts the periodic ticks of the view and the replica.
	 * @param peerTransport sends the messages
	 * @param timers schedules ticks
	 */
	public void start(PeerTransport peerTransport, ScheduledExecutorService timers) {
		this.transport = peerTransport;
		this.tickTask = timers.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Notifies all peers that this process is shutting down.
	 */
	public void leave() {
		perform(this.view.leave());
	}

	/**
	 * Performs actions in order.
	 * @param actions the actions of the view or the replica
	 */
	public void perform(List<MembershipAction> actions) {
		actions.forEach(this::perform);
	}

	private void tick() {
		if (this.closed) {
			return;
		}
		try {
			MonotonicTime now = this.clock.now();
			perform(this.view.tick(now, this.localState.get()));
			perform(this.replica.tick(now));
		}
		catch (RuntimeException ex) {
			this.listener.fatalError(ex);
		}
	}

	private void perform(MembershipAction action) {
		if (this.closed) {
			return;
		}
		if (action instanceof MembershipAction.Connect connect) {
			this.transport.connect(connect.vm(), parseAddress(connect.address()));
		}
		else if (action instanceof MembershipAction.Disconnect disconnect) {
			this.transport.disconnect(disconnect.vm());
		}
		else if (action instanceof MembershipAction.Send send) {
			this.transport.send(send.to(), send.message());
		}
		else if (action instanceof MembershipAction.ListStore list) {
			this.store.list(list.prefix())
				.thenAccept(
						(outcome) -> performGuarded(() -> this.replica.listCompleted(this.clock.now(), list, outcome)));
		}
		else if (action instanceof MembershipAction.WatchStore watch) {
			this.store.watch(watch.prefix(), watch.afterRevision(), watch.maxWait())
				.thenAccept((outcome) -> performGuarded(
						() -> this.replica.watchCompleted(this.clock.now(), watch, outcome)));
		}
		else {
			handleEvent(action);
		}
	}

	// The future would swallow the exception.
	private void performGuarded(Supplier<List<MembershipAction>> input) {
		try {
			perform(input.get());
		}
		catch (RuntimeException ex) {
			this.listener.fatalError(ex);
		}
	}

	private void handleEvent(MembershipAction action) {
		if (action instanceof MembershipAction.PeerStateChanged changed) {
			logger.atInfo().log(PREFIX + "peer %s changed to %s from %s.", changed.vm(), changed.to(), changed.from());
			this.listener.peerChanged(changed.vm(), changed.to());
		}
		else if (action instanceof MembershipAction.PeerRestarted restarted) {
			logger.atInfo().log(PREFIX + "peer %s restarted.", restarted.vm());
		}
		else if (action instanceof MembershipAction.DocumentApplied applied) {
			SettingsDocument document = applied.document();
			logger.atInfo()
				.log(PREFIX + "settings document %s is in force at revision %s.", document.key(), document.revision());
			this.listener.documentApplied(document);
		}
		else if (action instanceof MembershipAction.DocumentRefused refused) {
			logger.atSevere()
				.log(PREFIX + "cannot decode settings document %s received from %s.", refused.key(), refused.origin());
		}
		else if (action instanceof MembershipAction.SettingsReady ready) {
			logger.atInfo()
				.log(PREFIX + "settings are complete, loaded from %s.", ready.fromStore() ? "the store" : "peers");
		}
	}

	@Override
	public void linkUp(LocalPeer peer) {
		perform(this.view.linkUp(this.clock.now(), peer));
	}

	@Override
	public void linkDown(LocalPeer peer, String reason) {
		logger.atInfo().log(PREFIX + "link to %s closed: %s.", peer.vm(), reason);
		perform(this.view.linkDown(this.clock.now(), peer.vm()));
		this.listener.linkDown(peer.vm());
	}

	@Override
	public void received(VmId from, PeerFrame frame) {
		MonotonicTime now = this.clock.now();
		PeerMessage message = frame.message();
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			perform(this.view.heartbeatReceived(now, from, heartbeat));
			perform(this.replica.heartbeatReceived(now, from, heartbeat));
			this.listener.heartbeatReceived(from);
		}
		else if (message instanceof PeerMessage.Document document) {
			perform(this.replica.documentReceived(now, from, document));
		}
		else if (message instanceof PeerMessage.FetchDocuments fetch) {
			perform(this.replica.fetchReceived(now, from, fetch));
		}
		else if (message instanceof PeerMessage.Goodbye goodbye) {
			perform(this.view.goodbyeReceived(now, from, goodbye));
		}
		else {
			this.listener.messageReceived(from, frame);
		}
	}

	private static InetSocketAddress parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.tickTask != null) {
			this.tickTask.cancel(false);
		}
	}

	/**
	 * A listener for the events that concern other components of the daemon.
	 */
	public interface Listener {

		/**
		 * Called when a settings document is in force.
		 * @param document the document
		 */
		void documentApplied(SettingsDocument document);

		/**
		 * Called when a heartbeat was received.
		 * @param from the sender
		 */
		void heartbeatReceived(VmId from);

		/**
		 * Called when the state of a peer changed.
		 * @param vm the peer
		 * @param state the new state
		 */
		void peerChanged(VmId vm, PeerState state);

		/**
		 * Called when the link to a peer closed. Outstanding replies from the peer will
		 * not arrive.
		 * @param vm the peer
		 */
		void linkDown(VmId vm);

		/**
		 * Called when a message was received that is neither a heartbeat nor about
		 * settings or membership.
		 * @param from the sender
		 * @param frame the message
		 */
		void messageReceived(VmId from, PeerFrame frame);

		/**
		 * Called when an unexpected exception was caught; the process must stop.
		 * @param cause the exception
		 */
		void fatalError(Throwable cause);

	}

}
