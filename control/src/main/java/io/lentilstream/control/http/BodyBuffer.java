package io.lentilstream.control.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * A body that is being received. Copies what arrives, since parts that refer to the
 * buffers of reads keep these buffers, which may be much larger.
 */
final class BodyBuffer {

	private static final int MIN_SEGMENT_BYTES = 512;

	private static final int MAX_SEGMENT_BYTES = 8192;

	/** The memory that a segment takes beside its bytes, in bytes. */
	private static final int SEGMENT_OBJECT_BYTES = 96;

	private final List<ByteBuf> segments = new ArrayList<>(1);

	private int size;

	private int heldBytes;

	void append(ByteBuf part, ByteBufAllocator allocator) {
		while (part.isReadable()) {
			ByteBuf last = lastWithSpace(allocator);
			int length = Math.min(part.readableBytes(), last.writableBytes());
			last.writeBytes(part, length);
			this.size += length;
		}
	}

	private ByteBuf lastWithSpace(ByteBufAllocator allocator) {
		ByteBuf last = this.segments.isEmpty() ? null : this.segments.get(this.segments.size() - 1);
		if (last != null && last.isWritable()) {
			return last;
		}
		int capacity = Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, this.size));
		ByteBuf next = allocator.directBuffer(capacity, capacity);
		this.segments.add(next);
		this.heldBytes += capacity + SEGMENT_OBJECT_BYTES;
		return next;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns about how much memory the body takes.
	 * @return the size in bytes
	 */
	int heldBytes() {
		return this.heldBytes;
	}

	byte[] toBytes() {
		byte[] bytes = new byte[this.size];
		int position = 0;
		for (ByteBuf segment : this.segments) {
			int length = segment.readableBytes();
			segment.getBytes(segment.readerIndex(), bytes, position, length);
			position += length;
		}
		return bytes;
	}

	void release() {
		this.segments.forEach(ByteBuf::release);
		this.segments.clear();
		this.size = 0;
		this.heldBytes = 0;
	}

}
