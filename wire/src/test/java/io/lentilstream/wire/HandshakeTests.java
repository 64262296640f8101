package io.lentilstream.wire;

import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against peers without the key, with a recorded proof, or under another name.
 */
class HandshakeTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");

	private static final LocalPeer FIRST = new LocalPeer(new VmId("entry-1"), ZONE, 1);

	private static final LocalPeer SECOND = new LocalPeer(new VmId("entry-2"), ZONE, 1);

	private static final PeerKey KEY = new PeerKey("peer secret");

	private final Random random = new Random(5);

	private final Handshake connecting = Handshake.connecting(FIRST, KEY, this.random);

	private final Handshake accepting = Handshake.accepting(SECOND, KEY, this.random);

	@Test
	void authenticatesBothSides() {
		PeerMessage challenge = reply(this.accepting.received(this.connecting.hello()));
		HandshakeOutcome.Authenticated first = (HandshakeOutcome.Authenticated) this.connecting.received(challenge);
		assertThat(first.peer()).isEqualTo(SECOND);
		assertThat(this.accepting.received(first.reply())).isEqualTo(new HandshakeOutcome.Authenticated(FIRST, null));
	}

	@Test
	void refusesAPeerWithAnotherKey() {
		Handshake stranger = Handshake.accepting(SECOND, new PeerKey("other secret"), this.random);
		PeerMessage challenge = reply(stranger.received(this.connecting.hello()));
		assertRefused(this.connecting.received(challenge));
		Handshake caller = Handshake.connecting(FIRST, new PeerKey("other secret"), this.random);
		this.accepting.received(caller.hello());
		assertRefused(this.accepting.received(new PeerMessage.Proof(new PeerMessage.Bytes(new byte[32]))));
	}

	@Test
	void refusesAReplayedProof() {
		PeerMessage challenge = reply(this.accepting.received(this.connecting.hello()));
		PeerMessage proof = ((HandshakeOutcome.Authenticated) this.connecting.received(challenge)).reply();
		Handshake later = Handshake.accepting(SECOND, KEY, this.random);
		later.received(this.connecting.hello());
		assertRefused(later.received(proof));
	}

	@Test
	void refusesAChallengeForAnotherHello() {
		Handshake other = Handshake.connecting(FIRST, KEY, this.random);
		PeerMessage challenge = reply(this.accepting.received(other.hello()));
		assertRefused(this.connecting.received(challenge));
	}

	@Test
	void refusesItsOwnProofSentBack() {
		PeerMessage.Challenge challenge = (PeerMessage.Challenge) reply(
				this.accepting.received(this.connecting.hello()));
		assertRefused(this.accepting.received(new PeerMessage.Proof(challenge.proof())));
	}

	@Test
	void refusesAChangedIdentity() {
		PeerMessage.Hello hello = this.connecting.hello();
		PeerMessage.Hello changed = new PeerMessage.Hello(hello.vm(), hello.zone(), 9, hello.nonce());
		PeerMessage challenge = reply(this.accepting.received(changed));
		assertRefused(this.connecting.received(challenge));
	}

	@Test
	void refusesMessagesOutOfOrder() {
		assertRefused(this.accepting.received(new PeerMessage.Goodbye(1)));
		assertRefused(this.connecting.received(this.connecting.hello()));
		this.accepting.received(this.connecting.hello());
		assertRefused(this.accepting.received(this.connecting.hello()));
		assertRefused(Handshake.accepting(FIRST, KEY, this.random).received(this.connecting.hello()));
	}

	private static PeerMessage reply(HandshakeOutcome outcome) {
		return ((HandshakeOutcome.Reply) outcome).reply();
	}

	private static void assertRefused(HandshakeOutcome outcome) {
		assertThat(outcome).isInstanceOf(HandshakeOutcome.Refused.class);
	}

}
