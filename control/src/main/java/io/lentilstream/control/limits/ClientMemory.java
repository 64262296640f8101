package io.lentilstream.control.limits;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory that all clients together make a process hold, counted as what it
 * costs and not as the bytes that they sent. Beyond the bound, the client that holds the
 * most and waits for nothing is shed, so ordinary clients are served beside a crowd. Load
 * pattern: many large requests that stop just short of their end. All methods must be
 * called on the event loop.
 */
public final class ClientMemory {

	/**
	 * The cost of handling a request up to which it does not count as large, in bytes.
	 */
	private static final long MAX_SMALL_BYTES = 1 << 16;

	private final long maxBytes;

	private final Set<Share> shares = new LinkedHashSet<>();

	private long bytes;

	/** What large requests take that are being handled, in bytes. */
	private long largeBytes;

	private long shed;

	/**
	 * Creates a bound.
	 * @param maxBytes the maximum cost of all clients, in bytes
	 */
	public ClientMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Adds a client.
	 * @param client sheds what the client holds
	 * @return its share, which is empty
	 */
	public Share open(Client client) {
		Share share = new Share(client);
		this.shares.add(share);
		return share;
	}

	/**
	 * Returns the cost of all clients.
	 * @return the memory in bytes
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns how many clients have been shed.
	 * @return the number since the start
	 */
	public long shedClients() {
		return this.shed;
	}

	private void shedWhileAbove(long limit) {
		while (this.bytes > limit) {
			Optional<Share> largest = largest();
			if (largest.isEmpty()) {
				return;
			}
			Share share = largest.get();
			long before = share.sheddable;
			this.shed++;
			share.client.shed();
			share.stuck = share.sheddable >= before;
		}
	}

	private Optional<Share> largest() {
		Share largest = null;
		for (Share share : this.shares) {
			if (!share.stuck && share.sheddable > 0 && (largest == null || share.sheddable > largest.sheddable)) {
				largest = share;
			}
		}
		return Optional.ofNullable(largest);
	}

	/**
	 * A client that can be refused.
	 */
	@FunctionalInterface
	public interface Client {

		/**
		 * Refuses what the client has sent and what is not being handled, and updates its
		 * share.
		 */
		void shed();

	}

	/**
	 * What one client makes the process hold.
	 */
	public final class Share {

		private final Client client;

		private long fixed;

		private long sheddable;

		private long handling;

		/** Whether shedding the client has freed nothing. */
		private boolean stuck;

		private boolean closed;

		private Share(Client client) {
			this.client = client;
		}

		/**
		 * Sets what the client holds, apart from the request that is being handled. May
		 * shed any client.
		 * @param fixedBytes the cost of the connection, in bytes
		 * @param sheddableBytes what can be freed, in bytes
		 */
		public void update(long fixedBytes, long sheddableBytes) {
			if (this.closed) {
				return;
			}
			ClientMemory.this.bytes += fixedBytes + sheddableBytes - this.fixed - this.sheddable;
			boolean grown = sheddableBytes > this.sheddable || fixedBytes > this.fixed;
			this.stuck &= !grown;
			this.fixed = fixedBytes;
			this.sheddable = sheddableBytes;
			if (grown) {
				shedWhileAbove(ClientMemory.this.maxBytes);
			}
		}

		/**
		 * Reserves memory for handling a request. Large requests leave half of the memory
		 * to others, unless there is only one.
		 * @param cost the cost in bytes
		 * @return {@code false} if the request must be refused
		 */
		public boolean beginHandling(long cost) {
			ClientMemory memory = ClientMemory.this;
			boolean large = cost > MAX_SMALL_BYTES;
			if (large && memory.largeBytes > 0 && memory.largeBytes + cost > memory.maxBytes / 2) {
				return false;
			}
			shedWhileAbove(memory.maxBytes - cost);
			if (memory.bytes + cost > memory.maxBytes) {
				return false;
			}
			this.handling = cost;
			memory.bytes += cost;
			memory.largeBytes += large ? cost : 0;
			return true;
		}

		/**
		 * Frees what is reserved for handling a request.
		 */
		public void endHandling() {
			ClientMemory memory = ClientMemory.this;
			memory.bytes -= this.handling;
			memory.largeBytes -= (this.handling > MAX_SMALL_BYTES) ? this.handling : 0;
			this.handling = 0;
		}

		/**
		 * Removes a client whose connection is closed, apart from the request that is
		 * still being handled.
		 */
		public void close() {
			if (!this.closed) {
				ClientMemory.this.bytes -= this.fixed + this.sheddable;
				ClientMemory.this.shares.remove(this);
				this.closed = true;
				this.sheddable = 0;
			}
		}

	}

}
