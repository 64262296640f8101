package io.lentilstream.entry.calls;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import io.lentilstream.entry.fakes.ManualTimers;
import io.lentilstream.entry.peers.PeerRequestForwarder;
import io.lentilstream.entry.requests.RequestIds;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls that are forwarded in a loop, and against calls that are refused
 * although this VM owns the shard.
 */
class OwnerRouterTests {

	private static final ShardId SHARD = new ShardId("r", 0);

	private static final OwnerCall CALL = new OwnerCall(OwnerCall.Operation.SHOW_JOB, new TeamId("t"), Optional.empty(),
			new IdempotencyKey("k"), new byte[0]);

	private final ManualTimers timers = new ManualTimers();

	private Optional<OwnerCallHandler> local = Optional.empty();

	private final OwnerRouter router = new OwnerRouter((call) -> SHARD, (shard) -> this.local,
			(shard) -> Optional.empty(), new PeerRequestForwarder(() -> null, this.timers, this.timers),
			new RequestIds(new VmId("vm"), 1));

	@Test
	void handlesACallOfAnOwnedShard() {
		RequestOutcome outcome = new RequestOutcome.Answered(200, "text/plain", new byte[0]);
		this.local = Optional.of((call) -> CompletableFuture.completedFuture(outcome));
		assertThat(this.router.handle(CALL).join()).isEqualTo(outcome);
		assertThat(this.router.handleForwarded(CALL).join()).isEqualTo(outcome);
	}

	@Test
	void refusesACallWhoseOwnerIsNotKnown() {
		assertThat(this.router.handle(CALL).join())
			.isEqualTo(new RequestOutcome.NotRun(NotRunReason.OWNER_UNAVAILABLE, 1_000));
	}

	@Test
	void neverForwardsAForwardedCall() {
		assertThat(this.router.handleForwarded(CALL).join())
			.isEqualTo(new RequestOutcome.NotRun(NotRunReason.OWNER_UNAVAILABLE, 1_000));
	}

}
