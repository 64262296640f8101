package io.lentilstream.jobs.scheduling;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerLeaseTests {

	private static final long MAX_LEASE_MILLIS = 6000;

	private static final long NEVER = Long.MAX_VALUE / 2;

	private final WorkerLease lease = new WorkerLease();

	@Test
	void leaseIsExtendedAsFarAsTheVmAllows() {
		this.lease.recordClock(10_000, 1000, 1004);
		assertThat(this.lease.extend(1100, MAX_LEASE_MILLIS, NEVER)).isGreaterThanOrEqualTo(10_096 + MAX_LEASE_MILLIS);
	}

	@Test
	void leaseDoesNotOutlastLeadershipByMoreThanTheMaximumLease() {
		// The report was requested at 1000 and delayed by the VM until 1500.
		this.lease.recordClock(10_000, 1000, 1500);
		long leadershipEnd = 3000;
		for (long now = 1500; now < leadershipEnd + 2000; now += 100) {
			long deadline = this.lease.extend(now, MAX_LEASE_MILLIS, leadershipEnd + MAX_LEASE_MILLIS);
			// When the clock of the VM reaches the deadline, if it runs at the same rate.
			long endsAt = 1500 + (deadline - 10_000);
			assertThat(endsAt).isLessThanOrEqualTo(leadershipEnd + MAX_LEASE_MILLIS);
		}
	}

	@Test
	void leaseExpiresOnlyWhenTheSlowestClockHasPassedTheDeadline() {
		this.lease.recordClock(10_000, 1000, 1000);
		long deadline = this.lease.extend(1000, MAX_LEASE_MILLIS, NEVER);
		assertThat(deadline).isEqualTo(16_000);
		assertThat(this.lease.certainlyExpired(7200)).isFalse();
		assertThat(this.lease.certainlyExpired(7700)).isTrue();
	}

}
