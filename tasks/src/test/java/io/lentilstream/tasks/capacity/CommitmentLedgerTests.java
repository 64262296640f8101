package io.lentilstream.tasks.capacity;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that concurrent commitments never exceed the capacity of a VM, and that the
 * reserved share stays free for urgent tasks.
 */
public class CommitmentLedgerTests {

	private static final Resources UNIT = new Resources(4000, 100, 0);

	private final CommitmentLedger ledger = new CommitmentLedger(0.1);

	public CommitmentLedgerTests() {
		this.ledger.add();
		this.ledger.setCapacity(0, new Resources(10_000, 10_000, 1));
		this.ledger.setSchedulable(0, true);
	}

	@Operation
	public boolean commitUrgent() {
		return this.ledger.tryCommit(0, UNIT, true);
	}

	@Operation
	public boolean commitBatch() {
		return this.ledger.tryCommit(0, UNIT, false);
	}

	@Operation
	public long committed() {
		return this.ledger.committed(0).milliCores();
	}

	@Test
	void isLinearizable() {
		new ModelCheckingOptions().iterations(20)
			.invocationsPerIteration(200)
			.threads(2)
			.actorsPerThread(3)
			.check(CommitmentLedgerTests.class);
	}

	@Test
	void keepsTheReservedShareForUrgentTasks() {
		Resources large = new Resources(9500, 100, 0);
		assertThat(this.ledger.tryCommit(0, large, false)).isFalse();
		assertThat(this.ledger.find(0, large, false)).isEqualTo(-1);
		assertThat(this.ledger.tryCommit(0, large, true)).isTrue();
		assertThat(this.ledger.tryCommit(0, UNIT, true)).isFalse();
	}

}
