package io.lentilstream.wire;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.Revision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against small frames that expand without bound, and against contents that are
 * cut.
 */
class CompressionTests {

	private final byte[] content = "{\"/services/bread/timeout\":\"2s\"}".repeat(50).getBytes();

	@Test
	void restoresAContentUpToTheLimit() {
		byte[] compressed = Compression.deflate(this.content);
		assertThat(compressed.length).isLessThan(this.content.length / 10);
		assertThat(Compression.inflate(compressed, this.content.length)).isEqualTo(this.content);
		assertThatIllegalArgumentException().isThrownBy(() -> Compression.inflate(compressed, this.content.length - 1));
	}

	@Test
	void refusesACutOrDamagedContent() {
		byte[] compressed = Compression.deflate(this.content);
		for (int length = 0; length < compressed.length; length++) {
			byte[] cut = Arrays.copyOf(compressed, length);
			assertThatIllegalArgumentException().isThrownBy(() -> Compression.inflate(cut, 10_000));
		}
		compressed[0] ^= 0x55;
		assertThatIllegalArgumentException().isThrownBy(() -> Compression.inflate(compressed, 10_000));
	}

	@Test
	void compressesLongDocumentsOnTheWire() {
		FrameCodec codec = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);
		PeerFrame frame = PeerFrame
			.of(new PeerMessage.Document("/teams/bakery", new Revision(1), new PeerMessage.Bytes(this.content)));
		byte[] bytes = ((EncodeOutcome.Encoded) codec.encode(frame)).bytes();
		assertThat(bytes.length).isLessThan(this.content.length / 5);
		assertThat(codec.decode(Arrays.copyOfRange(bytes, FrameCodec.LENGTH_BYTES, bytes.length)))
			.isEqualTo(new DecodeOutcome.Decoded(frame));
	}

	@Test
	void refusesAFrameThatExpandsBeyondTheLimit() {
		FrameCodec codec = new FrameCodec(WireDefaults.MAX_FRAME_BYTES);
		PeerMessage bomb = new PeerMessage.Document("/platform", new Revision(1),
				new PeerMessage.Bytes(new byte[WireDefaults.MAX_FRAME_BYTES + 1]));
		byte[] bytes = ((EncodeOutcome.Encoded) codec.encode(PeerFrame.of(bomb))).bytes();
		assertThat(codec.decode(Arrays.copyOfRange(bytes, FrameCodec.LENGTH_BYTES, bytes.length)))
			.isEqualTo(new DecodeOutcome.Malformed("IllegalArgumentException"));
	}

}
