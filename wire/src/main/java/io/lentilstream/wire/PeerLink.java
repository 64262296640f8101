package io.lentilstream.wire;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

import io.lentilstream.model.VmId;

/**
 * Runs one link: handshake first, then messages in both directions.
 */
final class PeerLink extends ChannelInboundHandlerAdapter {

	private final PeerTransport transport;

	private final VmId expected;

	private final Handshake handshake;

	private final SendQueue queue = new SendQueue(WireDefaults.MAX_QUEUED_MESSAGES, WireDefaults.MAX_QUEUED_BYTES);

	private final AtomicBoolean flushing = new AtomicBoolean();

	private volatile ChannelHandlerContext context;

	private volatile LocalPeer peer;

	private boolean inUse;

	private String closeReason = "closed by the peer";

	/**
	 * Creates a link.
	 * @param transport the transport
	 * @param expected the VM that must answer, or {@code null} if the peer connected
	 */
	PeerLink(PeerTransport transport, VmId expected) {
		this.transport = transport;
		this.expected = expected;
		this.handshake = transport.newHandshake(connects());
	}

	LocalPeer peer() {
		return this.peer;
	}

	boolean connects() {
		return this.expected != null;
	}

	boolean isDialedByLowerId() {
		boolean selfIsLower = this.transport.self().vm().compareTo(this.peer.vm()) < 0;
		return selfIsLower == connects();
	}

	SendOutcome send(PeerFrame frame) {
		EncodeOutcome encoded = this.transport.codec().encode(frame);
		if (encoded instanceof EncodeOutcome.TooLarge tooLarge) {
			return new SendOutcome.TooLarge(tooLarge.size(), tooLarge.limit());
		}
		byte[] bytes = ((EncodeOutcome.Encoded) encoded).bytes();
		if (!this.queue.offer(frame.message().kind(), bytes)) {
			return new SendOutcome.QueueFull();
		}
		wakeUp();
		return new SendOutcome.Queued();
	}

	void close(String reason) {
		ChannelHandlerContext current = this.context;
		current.executor().execute(() -> closeNow(reason));
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		active.executor()
			.schedule(this::closeUnlessAuthenticated, WireDefaults.HANDSHAKE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		if (connects()) {
			writeNow(this.handshake.hello());
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext from, Object read) {
		if (read instanceof FrameSplitter.BadLength bad) {
			refuse("frame with length " + bad.length());
			return;
		}
		byte[] content = (byte[]) read;
		DecodeOutcome outcome = this.transport.codec().decode(content);
		if (outcome instanceof DecodeOutcome.Decoded decoded) {
			int size = FrameCodec.LENGTH_BYTES + content.length;
			this.transport.meter().received(decoded.frame().message().kind(), size);
			if (this.peer == null) {
				shakeHands(decoded.frame().message());
			}
			else if (this.inUse) {
				deliver(decoded.frame());
			}
		}
		else if (outcome instanceof DecodeOutcome.UnknownType && this.peer != null) {
			// A newer peer may use types that this version lacks during an upgrade.
			this.transport.meter().refused();
		}
		else {
			refuse(outcome.toString());
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext changed) {
		wakeUp();
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.transport.unregister(this, this.closeReason);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		closeNow(cause.getClass().getSimpleName());
	}

	private void deliver(PeerFrame frame) {
		MessageKind kind = frame.message().kind();
		if (kind == MessageKind.HELLO || kind == MessageKind.CHALLENGE || kind == MessageKind.PROOF) {
			refuse(kind + " after the handshake");
			return;
		}
		this.transport.listener().received(this.peer.vm(), frame);
	}

	private void shakeHands(PeerMessage message) {
		HandshakeOutcome outcome = this.handshake.received(message);
		if (outcome instanceof HandshakeOutcome.Refused refused) {
			refuse(refused.reason());
		}
		else if (outcome instanceof HandshakeOutcome.Reply reply) {
			writeNow(reply.reply());
		}
		else if (outcome instanceof HandshakeOutcome.Authenticated authenticated) {
			authenticated(authenticated);
		}
	}

	private void authenticated(HandshakeOutcome.Authenticated authenticated) {
		if (connects() && !authenticated.peer().vm().equals(this.expected)) {
			refuse("another VM answers at the address");
			return;
		}
		this.peer = authenticated.peer();
		if (authenticated.reply() != null) {
			writeNow(authenticated.reply());
		}
		String refusal = this.transport.register(this);
		if (refusal != null) {
			closeNow(refusal);
			return;
		}
		this.context.pipeline().get(FrameSplitter.class).authenticated();
		this.inUse = true;
		// A peer that flaps keeps its long pauses; only a link that lasts ends them.
		this.context.executor()
			.schedule(() -> this.transport.lasted(this), WireDefaults.MAX_BACKOFF.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void closeUnlessAuthenticated() {
		if (this.peer == null) {
			refuse("handshake timed out");
		}
	}

	private void refuse(String reason) {
		this.transport.meter().refused();
		closeNow(reason);
	}

	private void closeNow(String reason) {
		this.closeReason = reason;
		this.context.close();
	}

	private void writeNow(PeerMessage message) {
		EncodeOutcome encoded = this.transport.codec().encode(PeerFrame.of(message));
		if (encoded instanceof EncodeOutcome.Encoded bytes) {
			write(message.kind(), bytes.bytes());
			this.context.flush();
		}
	}

	private void wakeUp() {
		if (this.flushing.compareAndSet(false, true)) {
			this.context.executor().execute(this::drain);
		}
	}

	private void drain() {
		this.flushing.set(false);
		// Netty's own buffer stays small, so that a later heartbeat still overtakes
		// requests that wait here.
		while (this.context.channel().isWritable()) {
			Optional<SendQueue.Entry> entry = this.queue.poll();
			if (entry.isEmpty()) {
				break;
			}
			write(entry.get().kind(), entry.get().frame());
		}
		this.context.flush();
	}

	private void write(MessageKind kind, byte[] frame) {
		this.transport.meter().sent(kind, frame.length);
		this.context.write(Unpooled.wrappedBuffer(frame));
	}

}
