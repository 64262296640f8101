package io.lentilstream.control.peers;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.control.NettyEventLoop;

import static org.assertj.core.api.Assertions.assertThat;

class LeaderConnectionTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final AtomicInteger leaderChecks = new AtomicInteger();

	private final LeaderConnection connection = new LeaderConnection(new NettyEventLoop(this.group), this.group,
			(decision, subject, inputs) -> {
			}, this.leaderChecks::incrementAndGet);

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

	private void connectToLeader(long pongNumber) throws Exception {
		InetSocketAddress address = freeAddress();
		new PeerServer(
				(frame) -> (frame.kind() == PeerFrame.Kind.PING) ? frame.reply(PeerFrame.Kind.PONG, pongNumber) : null)
			.listen(this.group, address);
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

}
