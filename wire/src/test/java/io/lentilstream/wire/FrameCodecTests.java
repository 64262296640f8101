package io.lentilstream.wire;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that change on the wire and against frames that crash the
 * reader or make it allocate what they claim.
 */
class FrameCodecTests {

	private static final FrameCodec CODEC = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);

	@ParameterizedTest
	@MethodSource("messages")
	void returnsTheMessageThatWasSent(PeerMessage message) {
		PeerFrame frame = new PeerFrame("request-1", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
				message);
		assertThat(CODEC.decode(content(frame))).isEqualTo(new DecodeOutcome.Decoded(frame));
	}

	@Test
	void coversEveryType() {
		assertThat(messages().map(PeerMessage::kind).distinct()).containsExactlyInAnyOrder(MessageKind.values());
	}

	@ParameterizedTest
	@MethodSource("messages")
	void refusesEveryTruncationOfAMessage(PeerMessage message) {
		byte[] content = content(PeerFrame.of(message));
		for (int length = 0; length < content.length; length++) {
			assertThat(CODEC.decode(Arrays.copyOf(content, length))).isInstanceOf(DecodeOutcome.Malformed.class);
		}
		assertThat(CODEC.decode(Arrays.copyOf(content, content.length + 1)))
			.isInstanceOf(DecodeOutcome.Malformed.class);
	}

	@ParameterizedTest
	@MethodSource("messages")
	void neverThrowsOnChangedBytes(PeerMessage message) {
		Random random = new Random(71);
		byte[] content = content(PeerFrame.of(message));
		for (int i = 0; i < 2_000; i++) {
			byte[] changed = content.clone();
			changed[random.nextInt(changed.length)] = (byte) random.nextInt();
			changed[random.nextInt(changed.length)] = (byte) random.nextInt();
			assertThat(CODEC.decode(changed)).isNotNull();
		}
	}

	@ParameterizedTest
	@MethodSource("badFrames")
	void refusesABadFrame(String fault, byte[] content, DecodeOutcome expected) {
		assertThat(CODEC.decode(content)).as(fault).isEqualTo(expected);
	}

	@Test
	void refusesToSendMoreThanTheLimit() {
		FrameCodec small = new FrameCodec(20);
		assertThat(small.encode(PeerFrame.of(new PeerMessage.Goodbye(1)))).isInstanceOf(EncodeOutcome.Encoded.class);
		PeerMessage large = new PeerMessage.Proof(new PeerMessage.Bytes(new byte[100]));
		assertThat(small.encode(PeerFrame.of(large))).isEqualTo(new EncodeOutcome.TooLarge(108, 20));
	}

	static Stream<PeerMessage> messages() {
		return Samples.all().stream();
	}

	static Stream<Arguments> badFrames() {
		return Stream.of(
				Arguments.of("another version", bytes(0x95, 2, 12, 0xa0, 0xa0, 0x91, 1),
						new DecodeOutcome.WrongVersion(2)),
				Arguments.of("unknown type", bytes(0x95, 1, 99, 0xa0, 0xa0, 0x91, 1),
						new DecodeOutcome.UnknownType(99)),
				Arguments.of("too few fields", bytes(0x94, 1, 12, 0xa0, 0xa0),
						new DecodeOutcome.Malformed("envelope with wrong number of fields")),
				Arguments.of("text that claims 4 GB", bytes(0x95, 1, 12, 0xdb, 0xff, 0xff, 0xff, 0xff),
						new DecodeOutcome.Malformed("MessageSizeException")),
				Arguments.of("text that claims 1 GB", bytes(0x95, 1, 12, 0xdb, 0x40, 0, 0, 0),
						new DecodeOutcome.Malformed("IllegalArgumentException")),
				Arguments.of("no MessagePack", "GET / HTTP/1.1\r\n".getBytes(),
						new DecodeOutcome.Malformed("MessageTypeException")));
	}

	private static byte[] content(PeerFrame frame) {
		byte[] bytes = ((EncodeOutcome.Encoded) CODEC.encode(frame)).bytes();
		return Arrays.copyOfRange(bytes, FrameCodec.LENGTH_BYTES, bytes.length);
	}

	private static byte[] bytes(int... values) {
		byte[] bytes = new byte[values.length];
		for (int i = 0; i < values.length; i++) {
			bytes[i] = (byte) values[i];
		}
		return bytes;
	}

}
