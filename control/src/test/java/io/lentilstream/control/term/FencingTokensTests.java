package io.lentilstream.control.term;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.WorkerId;

import static org.assertj.core.api.Assertions.assertThat;

class FencingTokensTests {

	private static final WorkerId WORKER = new WorkerId("w1");

	private final FencingTokens tokens = new FencingTokens(10);

	@Test
	void theTokenOfAVmIsTheRevisionOfTheElection() {
		this.tokens.committed(15);
		assertThat(this.tokens.tokenFor(WORKER)).isEqualTo(10);
	}

	@Test
	void theTokenIsNotRaisedBeforeACommitHasShownThatTheLeaderStillLeads() {
		assertThat(this.tokens.raise(WORKER)).isFalse();
		assertThat(this.tokens.tokenFor(WORKER)).isEqualTo(10);
	}

	@Test
	void theTokenIsRaisedToTheRevisionOfTheLatestCommit() {
		this.tokens.committed(15);
		this.tokens.committed(12);
		assertThat(this.tokens.raise(WORKER)).isTrue();
		assertThat(this.tokens.tokenFor(WORKER)).isEqualTo(15);
	}

	@Test
	void theTokenIsRaisedAgainOnlyAfterAnotherCommit() {
		this.tokens.committed(15);
		this.tokens.raise(WORKER);
		assertThat(this.tokens.raise(WORKER)).isFalse();
		this.tokens.committed(16);
		assertThat(this.tokens.raise(WORKER)).isTrue();
	}

	@Test
	void theTokensOfOtherVmsStay() {
		this.tokens.committed(15);
		this.tokens.raise(WORKER);
		assertThat(this.tokens.tokenFor(new WorkerId("w2"))).isEqualTo(10);
	}

}
