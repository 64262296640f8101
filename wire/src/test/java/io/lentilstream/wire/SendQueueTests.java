package io.lentilstream.wire;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against heartbeats that wait behind requests, queues without bounds, and peers
 * that all reconnect at once.
 */
class SendQueueTests {

	@Test
	void sendsHeartbeatsBeforeDocumentsBeforeRequests() {
		SendQueue queue = new SendQueue(10, 1000);
		queue.offer(MessageKind.FORWARD_REQUEST, new byte[1]);
		queue.offer(MessageKind.DOCUMENT, new byte[2]);
		queue.offer(MessageKind.HEARTBEAT, new byte[3]);
		queue.offer(MessageKind.HEARTBEAT, new byte[4]);
		for (int length : new int[] { 3, 4, 2, 1 }) {
			assertThat(queue.poll().orElseThrow().frame()).hasSize(length);
		}
		assertThat(queue.poll()).isEmpty();
	}

	@Test
	void keepsRoomForHeartbeatsWhenRequestsFillTheirs() {
		SendQueue queue = new SendQueue(3, 1000);
		for (int i = 0; i < 3; i++) {
			assertThat(queue.offer(MessageKind.FORWARD_REQUEST, new byte[1])).isTrue();
		}
		assertThat(queue.offer(MessageKind.FORWARD_REQUEST, new byte[1])).isFalse();
		assertThat(queue.offer(MessageKind.HEARTBEAT, new byte[1])).isTrue();
	}

	@Test
	void boundsBytesAndGivesRoomBack() {
		SendQueue queue = new SendQueue(10, 100);
		assertThat(queue.offer(MessageKind.DOCUMENT, new byte[60])).isTrue();
		assertThat(queue.offer(MessageKind.DOCUMENT, new byte[60])).isFalse();
		queue.poll();
		assertThat(queue.offer(MessageKind.DOCUMENT, new byte[60])).isTrue();
	}

	@Test
	void doublesThePauseUpToALimitWithJitter() {
		Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5), new Random(1));
		long[] limits = { 100, 200, 400, 800, 1600, 3200, 5000, 5000 };
		for (long limit : limits) {
			assertThat(backoff.nextPause().toMillis()).isBetween(limit / 2, limit);
		}
		for (int i = 0; i < 100; i++) {
			assertThat(backoff.nextPause().toMillis()).isBetween(2500L, 5000L);
		}
		backoff.reset();
		assertThat(backoff.nextPause().toMillis()).isBetween(50L, 100L);
	}

}
