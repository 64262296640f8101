package io.lentilstream.control.leadership;

import java.net.InetSocketAddress;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseExpiryDetectorTests {

	private final LeaseExpiryDetector detector = new LeaseExpiryDetector();

	@Test
	void theLeaseOfALeaderThatIsStillNamedAfterItWasLostExpires() {
		this.detector.found(leader("a", 1), 100);
		this.detector.lost(200);
		this.detector.found(leader("a", 1), 450);
		assertThat(this.detector.leaseExpired()).isTrue();
	}

	@Test
	void aLeaderThatIsNotNamedAfterItWasLostMayHaveEndedItsLease() {
		this.detector.found(leader("a", 1), 100);
		this.detector.lost(200);
		assertThat(this.detector.leaseExpired()).isFalse();
	}

	@Test
	void aReadThatWasSentBeforeTheLossProvesNothing() {
		this.detector.found(leader("a", 1), 100);
		this.detector.lost(200);
		this.detector.found(leader("a", 1), 199);
		assertThat(this.detector.leaseExpired()).isFalse();
	}

	@Test
	void aLeaderThatAnswersAgainMayEndItsLease() {
		this.detector.found(leader("a", 1), 100);
		this.detector.lost(200);
		this.detector.found(leader("a", 1), 450);
		this.detector.answered();
		assertThat(this.detector.leaseExpired()).isFalse();
	}

	@Test
	void theNextTermOfALostLeaderIsNotLost() {
		this.detector.found(leader("a", 1), 100);
		this.detector.lost(200);
		this.detector.found(leader("a", 2), 450);
		assertThat(this.detector.leaseExpired()).isFalse();
	}

	@Test
	void aFormerIncarnationOfThisProcessHasNotEndedItsLease() {
		this.detector.foundFormerIncarnation(leader("a", 1), 100);
		assertThat(this.detector.leaseExpired()).isTrue();
	}

	@Test
	void withoutAKnownLeaderNothingIsLost() {
		this.detector.lost(200);
		this.detector.found(leader("a", 1), 450);
		assertThat(this.detector.leaseExpired()).isFalse();
	}

	private static LeaderRecord leader(String node, int term) {
		return new LeaderRecord(node, new InetSocketAddress("127.0.0.1", 1), term, 7);
	}

}
