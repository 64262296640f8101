package io.lentilstream.jobs.scheduling;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseTests {

	private static final long LONGEST = 6000;

	private static final long NEVER = Long.MAX_VALUE / 2;

	private final WorkerLease lease = new WorkerLease();

	@Test
	void aLeaseIsExtendedAsFarAsTheVMAllows() {
		this.lease.clockRead(10_000, 1000, 1004);
		assertThat(this.lease.extend(1100, LONGEST, NEVER)).isGreaterThanOrEqualTo(10_096 + LONGEST);
	}

	@Test
	void aLeaseDoesNotOutlastTheMandateByMoreThanTheLongestLease() {
		// The report was asked for at 1000 and waited at the VM until 1500.
		this.lease.clockRead(10_000, 1000, 1500);
		long mandateEnd = 3000;
		for (long now = 1500; now < mandateEnd + 2000; now += 100) {
			long deadline = this.lease.extend(now, LONGEST, mandateEnd + LONGEST);
			// When the clock of the VM shows the deadline, if it runs as fast as ours.
			long endsAt = 1500 + (deadline - 10_000);
			assertThat(endsAt).isLessThanOrEqualTo(mandateEnd + LONGEST);
		}
	}

	@Test
	void aLeaseHasPassedOnlyWhenASlowClockShowsTheDeadline() {
		this.lease.clockRead(10_000, 1000, 1000);
		long deadline = this.lease.extend(1000, LONGEST, NEVER);
		assertThat(deadline).isEqualTo(16_000);
		assertThat(this.lease.certainlyPassed(7200)).isFalse();
		assertThat(this.lease.certainlyPassed(7700)).isTrue();
	}

}
