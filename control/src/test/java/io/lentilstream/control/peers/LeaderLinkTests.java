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

class LeaderLinkTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final AtomicInteger lost = new AtomicInteger();

	private final LeaderLink link = new LeaderLink(new NettyEventLoop(this.group), this.group,
			(decision, subject, inputs) -> {
			}, this.lost::incrementAndGet);

	@AfterEach
	void close() {
		this.group.shutdownGracefully();
	}

	@Test
	void aLeaderWhoseLeaseMayHaveEndedIsLookedUpAndStaysConnected() throws Exception {
		connectToLeaderWith(0);
		waitFor(2);
		assertThat(this.lost.get()).isGreaterThanOrEqualTo(2);
		assertThat(this.group.submit(this.link::connected).get()).isTrue();
	}

	@Test
	void aLeaderWithALeaseIsNotLookedUp() throws Exception {
		connectToLeaderWith(1);
		waitFor(1);
		assertThat(this.lost.get()).isZero();
	}

	private void connectToLeaderWith(long lease) throws Exception {
		InetSocketAddress address = freeAddress();
		new PeerListener(
				(frame) -> (frame.kind() == PeerFrame.Kind.PING) ? frame.answer(PeerFrame.Kind.PONG, lease) : null)
			.listen(this.group, address);
		this.group.submit(() -> this.link.connect(address)).get();
	}

	private void waitFor(int lookups) throws InterruptedException {
		for (int i = 0; i < 150 && this.lost.get() < lookups; i++) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private static InetSocketAddress freeAddress() throws Exception {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
		}
	}

}
