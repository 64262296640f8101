package io.lentilstream.wire;

import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;

import io.lentilstream.wire.PeerMessage.Bytes;
import io.lentilstream.wire.PeerMessage.Challenge;
import io.lentilstream.wire.PeerMessage.Hello;
import io.lentilstream.wire.PeerMessage.Proof;

/**
 * Decides the handshake of one link, without I/O. Each side signs its role, both
 * identities and both nonces. The fresh nonces make a replayed proof useless, and the
 * role keeps a proof from being reflected to its sender.
 */
final class Handshake {

	private static final int NONCE_BYTES = 32;

	private static final String CONNECTING = "connecting";

	private static final String ACCEPTING = "accepting";

	private final LocalPeer self;

	private final PeerKey key;

	private final Bytes nonce;

	private final boolean connects;

	private LocalPeer peer;

	private byte[] transcript;

	private boolean ended;

	private Handshake(LocalPeer self, PeerKey key, RandomGenerator random, boolean connects) {
		this.self = self;
		this.key = key;
		this.connects = connects;
		byte[] bytes = new byte[NONCE_BYTES];
		random.nextBytes(bytes);
		this.nonce = new Bytes(bytes);
	}

	static Handshake connecting(LocalPeer self, PeerKey key, RandomGenerator random) {
		return new Handshake(self, key, random, true);
	}

	static Handshake accepting(LocalPeer self, PeerKey key, RandomGenerator random) {
		return new Handshake(self, key, random, false);
	}

	Hello hello() {
		return new Hello(this.self.vm(), this.self.zone(), this.self.incarnation(), this.nonce);
	}

	HandshakeOutcome received(PeerMessage message) {
		if (!this.ended && this.connects && message instanceof Challenge challenge) {
			return challenged(challenge);
		}
		if (!this.ended && !this.connects && this.peer == null && message instanceof Hello hello) {
			return greeted(hello);
		}
		if (!this.ended && !this.connects && this.peer != null && message instanceof Proof proof) {
			return proven(proof);
		}
		return new HandshakeOutcome.Refused("unexpected " + message.kind() + " in the handshake");
	}

	private HandshakeOutcome greeted(Hello hello) {
		if (hello.vm().equals(this.self.vm())) {
			return new HandshakeOutcome.Refused("the peer has the id of this VM");
		}
		if (hello.nonce().array().length != NONCE_BYTES) {
			return new HandshakeOutcome.Refused("nonce with wrong length");
		}
		this.peer = new LocalPeer(hello.vm(), hello.zone(), hello.incarnation());
		this.transcript = transcript(this.peer, hello.nonce(), this.self, this.nonce);
		Bytes proof = new Bytes(this.key.sign(labelled(ACCEPTING)));
		return new HandshakeOutcome.Reply(
				new Challenge(this.self.vm(), this.self.zone(), this.self.incarnation(), this.nonce, proof));
	}

	private HandshakeOutcome challenged(Challenge challenge) {
		this.ended = true;
		if (challenge.vm().equals(this.self.vm())) {
			return new HandshakeOutcome.Refused("the peer has the id of this VM");
		}
		if (challenge.nonce().array().length != NONCE_BYTES) {
			return new HandshakeOutcome.Refused("nonce with wrong length");
		}
		this.peer = new LocalPeer(challenge.vm(), challenge.zone(), challenge.incarnation());
		this.transcript = transcript(this.self, this.nonce, this.peer, challenge.nonce());
		if (!this.key.verifies(labelled(ACCEPTING), challenge.proof().array())) {
			return new HandshakeOutcome.Refused("the peer does not have the peer key");
		}
		return new HandshakeOutcome.Authenticated(this.peer, new Proof(new Bytes(this.key.sign(labelled(CONNECTING)))));
	}

	private HandshakeOutcome proven(Proof proof) {
		this.ended = true;
		if (!this.key.verifies(labelled(CONNECTING), proof.proof().array())) {
			return new HandshakeOutcome.Refused("the peer does not have the peer key");
		}
		return new HandshakeOutcome.Authenticated(this.peer, null);
	}

	private byte[] labelled(String role) {
		byte[] label = role.getBytes(StandardCharsets.UTF_8);
		byte[] message = new byte[label.length + this.transcript.length];
		System.arraycopy(label, 0, message, 0, label.length);
		System.arraycopy(this.transcript, 0, message, label.length, this.transcript.length);
		return message;
	}

	private static byte[] transcript(LocalPeer connecting, Bytes first, LocalPeer accepting, Bytes second) {
		// Ids hold no line feed and nonces have a fixed length, so the parts cannot run
		// into each other.
		byte[] names = (describe(connecting) + describe(accepting)).getBytes(StandardCharsets.UTF_8);
		byte[] all = new byte[names.length + 2 * NONCE_BYTES];
		System.arraycopy(names, 0, all, 0, names.length);
		System.arraycopy(first.array(), 0, all, names.length, NONCE_BYTES);
		System.arraycopy(second.array(), 0, all, names.length + NONCE_BYTES, NONCE_BYTES);
		return all;
	}

	private static String describe(LocalPeer peer) {
		return "\n" + peer.vm() + "\n" + peer.zone() + "\n" + peer.incarnation() + "\n";
	}

}
