package io.lentilstream.control.peers;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

class PeerFrameTests {

	private static final PeerFrame FRAME = new PeerFrame(PeerFrame.Kind.SUBMITTED, 7, "job-1", 3, new byte[] { 1, 2 });

	@Test
	void aFrameIsUnchangedByEncodingAndDecoding() throws IOException {
		PeerFrame decoded = PeerFrame.decode(FRAME.encode());
		assertThat(decoded).usingRecursiveComparison().isEqualTo(FRAME);
	}

	// Guards against a peer whose bytes end the process.
	@Test
	void aFrameOfOddBytesIsDecodedOrMalformed() {
		Random random = new Random(5);
		for (int i = 0; i < 200_000; i++) {
			byte[] bytes = FRAME.encode();
			for (int changes = random.nextInt(4); changes >= 0; changes--) {
				bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
			}
			decode(Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
		}
	}

	private static void decode(byte[] bytes) {
		try {
			PeerFrame.decode(bytes);
		}
		catch (IOException ex) {
			assertThat(ex).hasMessageContaining("frame");
		}
	}

	@Test
	void aFrameWhoseContentIsLongerThanTheFrameIsMalformed() {
		byte[] bytes = FRAME.encode();
		byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
		longer[bytes.length - 4] = (byte) 0xc6;
		longer[bytes.length - 3] = 0x7f;
		Arrays.fill(longer, bytes.length - 2, bytes.length + 1, (byte) 0xff);
		assertThatIOException().isThrownBy(() -> PeerFrame.decode(longer));
	}

}
