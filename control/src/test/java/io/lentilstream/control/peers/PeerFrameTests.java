package io.lentilstream.control.peers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PeerFrameTests {

	private static final int CONTENT_LENGTH_BYTES = 4;

	private static final byte[] CONTENT = new byte[1 << 16];

	private final PeerFrame frame = new PeerFrame(PeerFrame.Kind.SUBMITTED, 7, "job-1", 3, CONTENT);

	@Test
	void aFrameIsDecodedAsItWasEncoded() throws IOException {
		PeerFrame decoded = PeerFrame.decode(this.frame.encode());
		assertThat(decoded).usingRecursiveComparison().isEqualTo(this.frame);
	}

	@Test
	void aFrameThatIsCutIsMalformed() {
		byte[] bytes = this.frame.encode();
		for (int length : new int[] { 0, 1, 2, 8, bytes.length - CONTENT.length, bytes.length - 1 }) {
			assertThatThrownBy(() -> PeerFrame.decode(Arrays.copyOf(bytes, length))).isInstanceOf(IOException.class);
		}
	}

	// The length is not the peer's word for how much memory to take.
	@Test
	void aFrameWhoseContentIsLongerThanItselfIsMalformed() {
		byte[] bytes = this.frame.encode();
		int lengthAt = bytes.length - CONTENT.length - CONTENT_LENGTH_BYTES;
		for (int length : new int[] { CONTENT.length + 1, 1 << 30, Integer.MAX_VALUE }) {
			ByteBuffer.wrap(bytes).putInt(lengthAt, length);
			assertThatThrownBy(() -> PeerFrame.decode(bytes)).isInstanceOf(IOException.class);
		}
	}

}
