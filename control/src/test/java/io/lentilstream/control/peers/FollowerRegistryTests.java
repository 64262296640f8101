package io.lentilstream.control.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;

import static org.assertj.core.api.Assertions.assertThat;

class FollowerRegistryTests {

	private final ManualEventLoop loop = new ManualEventLoop();

	private final EmbeddedChannel first = new EmbeddedChannel();

	private final EmbeddedChannel second = new EmbeddedChannel();

	private int found;

	private final FollowerRegistry followers = new FollowerRegistry(this.loop, () -> this.found++);

	@Test
	void thereIsNoSuccessorBeforeAFollowerPings() {
		this.followers.received(this.first, PeerFrame.of(PeerFrame.Kind.ASK_STATE, 1, "job").withNumber(1));
		assertThat(this.followers.hasSuccessor()).isFalse();
		assertThat(this.found).isZero();
	}

	@Test
	void aFollowerThatCanLeadIsASuccessor() {
		ping(this.first, PeerFrame.CAN_LEAD);
		assertThat(this.followers.hasSuccessor()).isTrue();
		assertThat(this.found).isEqualTo(1);
	}

	@Test
	void aFollowerThatDrainsIsNoSuccessorAnyMore() {
		ping(this.first, PeerFrame.CAN_LEAD);
		ping(this.first, PeerFrame.CANNOT_LEAD);
		assertThat(this.followers.hasSuccessor()).isFalse();
		assertThat(this.found).isEqualTo(1);
	}

	@Test
	void aFollowerOfAnEarlierVersionIsASuccessor() {
		ping(this.first, 0);
		assertThat(this.followers.hasSuccessor()).isTrue();
		assertThat(this.found).isEqualTo(1);
	}

	@Test
	void aFollowerThatClosedItsConnectionIsNoSuccessor() {
		ping(this.first, PeerFrame.CAN_LEAD);
		this.followers.closed(this.first);
		assertThat(this.followers.hasSuccessor()).isFalse();
	}

	@Test
	void aFollowerThatIsSilentIsNoSuccessor() {
		ping(this.first, PeerFrame.CAN_LEAD);
		this.loop.runFor(1001);
		assertThat(this.followers.hasSuccessor()).isFalse();
	}

	@Test
	void nobodyIsNotifiedIfNoFollowerCanLead() {
		ping(this.first, PeerFrame.CANNOT_LEAD);
		assertThat(this.followers.notifySuccessor()).isFalse();
		assertThat((Object) this.first.readOutbound()).isNull();
	}

	@Test
	void onlyOneFollowerThatCanLeadIsNotified() throws Exception {
		ping(this.first, PeerFrame.CAN_LEAD);
		this.loop.runFor(100);
		ping(this.second, PeerFrame.CAN_LEAD);
		assertThat(this.followers.notifySuccessor()).isTrue();
		assertThat((Object) this.first.readOutbound()).isNull();
		PeerFrame frame = PeerFrame.decode(ByteBufUtil.getBytes(this.second.<ByteBuf>readOutbound()));
		assertThat(frame.kind()).isEqualTo(PeerFrame.Kind.NOT_LEADING);
		assertThat(frame.callId()).isZero();
	}

	@Test
	void aFollowerThatTellsItCanLeadIsPreferredToOneOfAnEarlierVersion() {
		ping(this.first, PeerFrame.CAN_LEAD);
		this.loop.runFor(100);
		ping(this.second, 0);
		this.followers.notifySuccessor();
		assertThat((Object) this.first.readOutbound()).isNotNull();
		assertThat((Object) this.second.readOutbound()).isNull();
	}

	private void ping(EmbeddedChannel from, long number) {
		this.followers.received(from, PeerFrame.of(PeerFrame.Kind.PING, 1, "").withNumber(number));
	}

}
