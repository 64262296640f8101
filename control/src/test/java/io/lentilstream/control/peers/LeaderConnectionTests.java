package io.lentilstream.control.peers;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.NettyEventLoop;
import io.lentilstream.control.limits.ClientLimits;

import static org.assertj.core.api.Assertions.assertThat;

class LeaderConnectionTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final AtomicInteger leaderChecks = new AtomicInteger();

	private final AtomicInteger resignations = new AtomicInteger();

	private final AtomicLong lastPing = new AtomicLong(-1);

	private volatile boolean canLead = true;

	private FollowerRegistry followers;

	private final LeaderConnection connection = new LeaderConnection(new NettyEventLoop(this.group), this.group,
			(decision, subject, inputs) -> {
			}, new Follower());

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	@Test
	void aLeaderWhoseLeaseMayHaveExpiredIsRecheckedAndStaysConnected() throws Exception {
		connectToLeader(0);
		waitFor(2);
		assertThat(this.leaderChecks.get()).isGreaterThanOrEqualTo(2);
		assertThat(this.group.submit(this.connection::connected).get()).isTrue();
	}

	@Test
	void aLeaderWithAValidLeaseIsNotRechecked() throws Exception {
		connectToLeader(1);
		waitFor(1);
		assertThat(this.leaderChecks.get()).isZero();
	}

	@Test
	void theLeaderIsToldAtOnceThatThisProcessCannotLeadAnyMore() throws Exception {
		connectToLeader(1);
		waitUntil(() -> this.lastPing.get() == PeerFrame.CAN_LEAD);
		assertThat(this.group.submit(this.followers::hasSuccessor).get()).isTrue();
		this.canLead = false;
		this.group.submit(this.connection::announceCandidacy).get();
		waitUntil(() -> this.lastPing.get() == PeerFrame.CANNOT_LEAD);
		assertThat(this.group.submit(this.followers::hasSuccessor).get()).isFalse();
		assertThat(this.group.submit(this.connection::connected).get()).isTrue();
	}

	@Test
	void theSuccessorOfALeaderThatResignedIsNotified() throws Exception {
		connectToLeader(1);
		waitUntil(() -> this.lastPing.get() == PeerFrame.CAN_LEAD);
		this.group.submit(this.followers::notifySuccessor).get();
		waitUntil(() -> this.resignations.get() > 0);
		assertThat(this.resignations.get()).isEqualTo(1);
		assertThat(this.group.submit(this.connection::connected).get()).isFalse();
	}

	private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
		for (int i = 0; i < 150 && !condition.getAsBoolean(); i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private void connectToLeader(long pongNumber) throws Exception {
		InetSocketAddress address = freeAddress();
		this.followers = new FollowerRegistry(new NettyEventLoop(this.group), () -> {
		});
		new PeerServer((frame) -> {
			if (frame.kind() != PeerFrame.Kind.PING) {
				return null;
			}
			this.lastPing.set(frame.number());
			return frame.reply(PeerFrame.Kind.PONG, pongNumber);
		}, this.followers).listen(this.group, address, ClientLimits.withDefaults());
		this.group.submit(() -> this.connection.connect(address)).get();
	}

	private void waitFor(int checks) throws InterruptedException {
		for (int i = 0; i < 150 && this.leaderChecks.get() < checks; i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private static InetSocketAddress freeAddress() throws Exception {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
		}
	}

	private final class Follower implements LeaderConnection.Listener {

		@Override
		public void leaderDoubtful() {
			LeaderConnectionTests.this.leaderChecks.incrementAndGet();
		}

		@Override
		public void leaderResigned() {
			LeaderConnectionTests.this.resignations.incrementAndGet();
		}

		@Override
		public boolean canLead() {
			return LeaderConnectionTests.this.canLead;
		}

	}

}
