package io.lentilstream.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a stranger that makes the daemon buffer large frames, and against frames
 * that are cut or joined.
 */
class FrameSplitterTests {

	private final FrameSplitter splitter = new FrameSplitter(10_000);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.splitter);

	@Test
	void allowsOnlySmallFramesBeforeTheProof() {
		write(0, 0, 4, 1);
		assertThat(this.channel.<Object>readInbound()).isEqualTo(new FrameSplitter.BadLength(1025));
	}

	@Test
	void allowsLargerFramesAfterTheProofUpToTheLimit() {
		this.splitter.authenticated();
		write(0, 0, 4, 1);
		assertThat(this.channel.<Object>readInbound()).isNull();
		this.channel.writeInbound(Unpooled.wrappedBuffer(new byte[1025]));
		assertThat(this.channel.<byte[]>readInbound()).hasSize(1025);
		write(0, 0, 0x27, 0x11);
		assertThat(this.channel.<Object>readInbound()).isEqualTo(new FrameSplitter.BadLength(10_001));
	}

	@Test
	void ignoresEverythingAfterAWrongLength() {
		write(0, 0, 0, 0, 0, 0, 0, 1, 7);
		assertThat(this.channel.<Object>readInbound()).isEqualTo(new FrameSplitter.BadLength(0));
		write(0, 0, 0, 1, 7);
		assertThat(this.channel.<Object>readInbound()).isNull();
	}

	@Test
	void joinsAFrameThatArrivesByteByByte() {
		for (int value : new int[] { 0, 0, 0, 2, 8, 9, 0, 0, 0, 1, 7 }) {
			write(value);
		}
		assertThat(this.channel.<byte[]>readInbound()).containsExactly(8, 9);
		assertThat(this.channel.<byte[]>readInbound()).containsExactly(7);
	}

	private void write(int... values) {
		byte[] bytes = new byte[values.length];
		for (int i = 0; i < values.length; i++) {
			bytes[i] = (byte) values[i];
		}
		this.channel.writeInbound(Unpooled.wrappedBuffer(bytes));
	}

}
