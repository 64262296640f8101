package io.lentilstream.entry;

import java.util.function.Consumer;

import io.lentilstream.entry.peers.PeerDriver;
import io.lentilstream.membership.PeerState;
import io.lentilstream.membership.SettingsDocument;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerMessage;

/**
 * Passes what happens at peers to the parts of the daemon.
 */
final class EntryPeerListener implements PeerDriver.Listener {

	private final EntryDaemon daemon;

	private final Consumer<Throwable> brokenInvariant;

	EntryPeerListener(EntryDaemon daemon, Consumer<Throwable> brokenInvariant) {
		this.daemon = daemon;
		this.brokenInvariant = brokenInvariant;
	}

	@Override
	public void applied(SettingsDocument document) {
		this.daemon.parts().settings().apply(document);
		this.daemon.applySettings();
	}

	@Override
	public void heartbeat(VmId from) {
		this.daemon.parts().reports().heartbeat(from, this.daemon.parts().clock().now());
	}

	@Override
	public void peerChanged(VmId vm, PeerState state) {
		if (state == PeerState.GONE || state == PeerState.LEAVING) {
			this.daemon.parts().ownership().refreshSoon();
		}
	}

	@Override
	public void linkDown(VmId vm) {
		this.daemon.parts().forwarder().linkDown(vm);
	}

	@Override
	public void received(VmId from, PeerFrame frame) {
		if (frame.message() instanceof PeerMessage.ForwardRequest request) {
			this.daemon.parts().requests().received(from, frame, request);
		}
		else {
			this.daemon.parts().forwarder().replied(from, frame);
		}
	}

	@Override
	public void brokenInvariant(Throwable cause) {
		this.brokenInvariant.accept(cause);
	}

}
