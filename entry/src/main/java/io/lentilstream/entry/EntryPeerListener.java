package io.lentilstream.entry;

import java.util.function.Consumer;

import io.lentilstream.entry.peers.PeerDriver;
import io.lentilstream.membership.PeerState;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerMessage;

/**
 * The listener that passes peer events to the components of the daemon.
 */
final class EntryPeerListener implements PeerDriver.Listener {

	private final EntryDaemon daemon;

	private final Consumer<Throwable> fatalErrorHandler;

	EntryPeerListener(EntryDaemon daemon, Consumer<Throwable> fatalErrorHandler) {
		this.daemon = daemon;
		this.fatalErrorHandler = fatalErrorHandler;
	}

	@Override
	public void documentApplied(SettingsDocument document) {
		this.daemon.peerListenerComponents().settings().apply(document);
		this.daemon.applySettings();
	}

	@Override
	public void heartbeatReceived(VmId from) {
		this.daemon.peerListenerComponents()
			.reports()
			.heartbeatReceived(from, this.daemon.peerListenerComponents().clock().now());
	}

	@Override
	public void peerChanged(VmId vm, PeerState state) {
		if (state == PeerState.GONE || state == PeerState.LEAVING) {
			this.daemon.peerListenerComponents().ownership().requestRefresh();
		}
	}

	@Override
	public void linkDown(VmId vm) {
		this.daemon.peerListenerComponents().forwarder().linkDown(vm);
	}

	@Override
	public void messageReceived(VmId from, PeerFrame frame) {
		if (frame.message() instanceof PeerMessage.ForwardRequest request) {
			this.daemon.peerListenerComponents().requests().handle(from, frame, request);
		}
		else {
			this.daemon.peerListenerComponents().forwarder().replyReceived(from, frame);
		}
	}

	@Override
	public void fatalError(Throwable cause) {
		this.fatalErrorHandler.accept(cause);
	}

}
