package io.lentilstream.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against links that outlive a fault, faults that spread to other links, and
 * oversized bodies that are cut.
 */
class PeerTransportTests {

	private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");

	private static final String SECRET = "peer secret";

	private static final Duration PATIENCE = Duration.ofSeconds(30);

	private final List<Endpoint> endpoints = new CopyOnWriteArrayList<>();

	@AfterEach
	void closeAll() {
		this.endpoints.forEach((endpoint) -> endpoint.transport.close());
	}

	@Test
	void carriesMessagesInBothDirectionsAndMetersThem() {
		Endpoint first = endpoint("entry-1", 1, SECRET);
		Endpoint second = endpoint("entry-2", 1, SECRET);
		link(first, second);
		PeerFrame frame = new PeerFrame("id-1", "trace",
				new PeerMessage.ForwardRefusal(new RequestId("id-1"), NotRunReason.QUEUE_FULL, 5));
		assertThat(second.transport.send(first.vm(), frame)).isEqualTo(new SendOutcome.Queued());
		assertThat(first.transport.send(second.vm(), new PeerMessage.Goodbye(1))).isEqualTo(new SendOutcome.Queued());
		await(() -> first.events.contains("entry-2 " + frame));
		await(() -> second.events.contains("entry-1 " + PeerFrame.of(new PeerMessage.Goodbye(1))));
		TrafficMeter.Traffic sent = second.transport.meter().sentOf(MessageKind.FORWARD_REFUSAL);
		assertThat(sent.messages()).isEqualTo(1);
		assertThat(first.transport.meter().receivedOf(MessageKind.FORWARD_REFUSAL)).isEqualTo(sent);
	}

	@Test
	void refusesABodyLargerThanTheLimitAndKeepsTheLink() {
		Endpoint first = endpoint("entry-1", 1, SECRET);
		Endpoint second = endpoint("entry-2", 1, SECRET);
		link(first, second);
		RequestId id = new RequestId("id-1");
		byte[] body = new byte[WireDefaults.MAX_FRAME_BYTES];
		assertThat(first.transport.send(second.vm(),
				new PeerMessage.ForwardAnswer(id, new RequestOutcome.Answered(200, "text/plain", body))))
			.isInstanceOf(SendOutcome.TooLarge.class);
		assertThat(first.transport.send(second.vm(),
				new PeerMessage.ForwardAnswer(id,
						new RequestOutcome.Answered(200, "text/plain", new byte[WireDefaults.MAX_FRAME_BYTES - 1000]))))
			.isEqualTo(new SendOutcome.Queued());
		await(() -> second.events.size() == 2);
	}

	@Test
	void answersThatThereIsNoLink() {
		assertThat(endpoint("entry-1", 1, SECRET).transport.send(new VmId("entry-2"), new PeerMessage.Goodbye(1)))
			.isEqualTo(new SendOutcome.NotConnected());
	}

	@Test
	void keepsOneLinkIfBothSidesConnect() {
		Endpoint first = endpoint("entry-1", 1, SECRET);
		Endpoint second = endpoint("entry-2", 1, SECRET);
		first.transport.connect(second.vm(), second.address);
		second.transport.connect(first.vm(), first.address);
		await(() -> first.isLinkedTo(second) && second.isLinkedTo(first));
		await(() -> {
			first.transport.send(second.vm(), new PeerMessage.Goodbye(7));
			return second.events.contains("entry-1 " + PeerFrame.of(new PeerMessage.Goodbye(7)));
		});
	}

	@Test
	void connectsAgainAfterTheOtherSideRestarts() {
		Endpoint first = endpoint("entry-1", 1, SECRET);
		Endpoint second = endpoint("entry-2", 1, SECRET);
		link(first, second);
		second.transport.close();
		await(() -> first.events.contains("down entry-2 1"));
		Endpoint again = new Endpoint("entry-2", 2, SECRET);
		this.endpoints.add(again);
		again.address = again.transport.listen(second.address);
		await(() -> first.events.contains("up entry-2 2"));
	}

	@Test
	void refusesAnotherVmAtTheAddress() {
		Endpoint first = endpoint("entry-1", 1, SECRET);
		Endpoint second = endpoint("entry-2", 1, SECRET);
		first.transport.connect(new VmId("entry-3"), second.address);
		await(() -> first.transport.meter().refusedFrames() > 0);
		assertThat(first.events).isEmpty();
	}

	@Test
	void refusesAPeerWithAnotherKey() {
		Endpoint first = endpoint("entry-1", 1, "another secret");
		Endpoint second = endpoint("entry-2", 1, SECRET);
		first.transport.connect(second.vm(), second.address);
		await(() -> first.transport.meter().refusedFrames() > 0);
		assertThat(first.events).isEmpty();
		assertThat(second.events).isEmpty();
	}

	@ParameterizedTest
	@MethodSource("strangers")
	void closesOnlyTheLinkWithABadFrame(String fault, int[] bytes) throws IOException {
		Endpoint first = endpoint("entry-1", 1, SECRET);
		Endpoint second = endpoint("entry-2", 1, SECRET);
		link(first, second);
		try (Socket socket = new Socket(second.address.getAddress(), second.address.getPort())) {
			for (int value : bytes) {
				socket.getOutputStream().write(value);
			}
			assertThat(socket.getInputStream().read()).as(fault).isEqualTo(-1);
		}
		assertThat(second.transport.meter().refusedFrames()).isEqualTo(1);
		first.transport.send(second.vm(), new PeerMessage.Goodbye(1));
		await(() -> second.events.size() == 2);
		assertThat(second.events.get(0)).isEqualTo("up entry-1 1");
	}

	static Stream<Arguments> strangers() {
		return Stream.of(row("negative length", 0xff, 0xff, 0xff, 0xff), row("length zero", 0, 0, 0, 0),
				row("larger than the limit before the proof", 0, 0, 4, 1),
				row("HTTP", 'G', 'E', 'T', ' ', '/', ' ', 'H', 'T', 'T', 'P'),
				row("another version", 0, 0, 0, 7, 0x95, 2, 12, 0xa0, 0xa0, 0x91, 1),
				row("unknown type before the proof", 0, 0, 0, 7, 0x95, 1, 99, 0xa0, 0xa0, 0x91, 1),
				row("goodbye before the proof", 0, 0, 0, 7, 0x95, 1, 12, 0xa0, 0xa0, 0x91, 1),
				row("proof without a hello", 0, 0, 0, 8, 0x95, 1, 3, 0xa0, 0xa0, 0x91, 0xc4, 0));
	}

	@ParameterizedTest
	@MethodSource("authenticatedFaults")
	void handlesABadFrameOfAnAuthenticatedPeer(String fault, boolean closes, int[] bytes) throws IOException {
		Endpoint second = endpoint("entry-2", 1, SECRET);
		try (Socket socket = new Socket(second.address.getAddress(), second.address.getPort())) {
			authenticate(socket);
			await(() -> second.events.contains("up entry-1 1"));
			for (int value : bytes) {
				socket.getOutputStream().write(value);
			}
			await(() -> second.transport.meter().refusedFrames() == 1);
			if (closes) {
				await(() -> second.events.contains("down entry-1 1"));
				return;
			}
			socket.getOutputStream().write(encoded(new PeerMessage.Goodbye(3)));
			await(() -> second.events.size() == 2);
		}
	}

	static Stream<Arguments> authenticatedFaults() {
		return Stream.of(
				Arguments.of("unknown type of a newer peer", false,
						new int[] { 0, 0, 0, 7, 0x95, 1, 99, 0xa0, 0xa0, 0x91, 1 }),
				Arguments.of("no MessagePack", true, new int[] { 0, 0, 0, 2, 1, 2 }),
				Arguments.of("oversize", true, new int[] { 0, 0x10, 0, 1 }),
				Arguments.of("another version", true, new int[] { 0, 0, 0, 7, 0x95, 2, 12, 0xa0, 0xa0, 0x91, 1 }),
				Arguments.of("proof again", true, new int[] { 0, 0, 0, 8, 0x95, 1, 3, 0xa0, 0xa0, 0x91, 0xc4, 0 }));
	}

	private static void authenticate(Socket socket) throws IOException {
		FrameCodec codec = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);
		Handshake handshake = Handshake.connecting(new LocalPeer(new VmId("entry-1"), ZONE, 1), new PeerKey(SECRET),
				new Random(2));
		DataOutputStream out = new DataOutputStream(socket.getOutputStream());
		out.write(encoded(handshake.hello()));
		DataInputStream in = new DataInputStream(socket.getInputStream());
		byte[] content = new byte[in.readInt()];
		in.readFully(content);
		PeerMessage challenge = ((DecodeOutcome.Decoded) codec.decode(content)).frame().message();
		out.write(encoded(((HandshakeOutcome.Authenticated) handshake.received(challenge)).reply()));
	}

	private static byte[] encoded(PeerMessage message) {
		FrameCodec codec = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);
		return ((EncodeOutcome.Encoded) codec.encode(PeerFrame.of(message))).bytes();
	}

	private static Arguments row(String fault, int... bytes) {
		return Arguments.of(fault, bytes);
	}

	private Endpoint endpoint(String vm, long incarnation, String secret) {
		Endpoint endpoint = new Endpoint(vm, incarnation, secret);
		this.endpoints.add(endpoint);
		endpoint.address = endpoint.transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		return endpoint;
	}

	private static void link(Endpoint first, Endpoint second) {
		first.transport.connect(second.vm(), second.address);
		await(() -> first.isLinkedTo(second) && second.isLinkedTo(first));
	}

	private static void await(Callable<Boolean> condition) {
		Awaitility.await().atMost(PATIENCE).pollInterval(Duration.ofMillis(5)).until(condition);
	}

	/**
	 * Records what happens at one transport.
	 */
	private static final class Endpoint implements PeerListener {

		private final List<String> events = new CopyOnWriteArrayList<>();

		private final LocalPeer self;

		private final PeerTransport transport;

		private InetSocketAddress address;

		private Endpoint(String vm, long incarnation, String secret) {
			this.self = new LocalPeer(new VmId(vm), ZONE, incarnation);
			this.transport = new PeerTransport(this.self, new PeerKey(secret), new Random(incarnation), this, 1);
		}

		private VmId vm() {
			return this.self.vm();
		}

		private boolean isLinkedTo(Endpoint other) {
			return this.events.contains("up " + other.vm() + " " + other.self.incarnation());
		}

		@Override
		public void linkUp(LocalPeer peer) {
			this.events.add("up " + peer.vm() + " " + peer.incarnation());
		}

		@Override
		public void linkDown(LocalPeer peer, String reason) {
			this.events.add("down " + peer.vm() + " " + peer.incarnation());
		}

		@Override
		public void received(VmId from, PeerFrame frame) {
			this.events.add(from + " " + frame);
		}

	}

}
