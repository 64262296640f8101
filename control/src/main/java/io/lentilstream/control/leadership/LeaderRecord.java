package io.lentilstream.control.leadership;

import java.io.IOException;
import java.net.InetSocketAddress;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The record that the leader stores about itself.
 *
 * @param node the name of its process
 * @param address the address on which it accepts connections from its peers
 * @param term the number of its term, from 0
 * @param nonce distinguishes several candidacies of the same process
 */
public record LeaderRecord(String node, InetSocketAddress address, int term, long nonce) {

	byte[] encode() {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packString(this.node);
			packer.packString(this.address.getAddress().getHostAddress());
			packer.packInt(this.address.getPort());
			packer.packInt(this.term);
			packer.packLong(this.nonce);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("could not write to an in-memory buffer", ex);
		}
	}

	static LeaderRecord decode(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			return new LeaderRecord(unpacker.unpackString(),
					new InetSocketAddress(unpacker.unpackString(), unpacker.unpackInt()), unpacker.unpackInt(),
					unpacker.unpackLong());
		}
		catch (MessagePackException | IllegalArgumentException ex) {
			throw new IOException("leader record is malformed", ex);
		}
	}

}
