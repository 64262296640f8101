package io.lentilstream.requests.records;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that runs twice, a caller that is notified before the record
 * is durable and a false "not run".
 */
class RequestRecordsTests {

	private static final RecordKey KEY = new RecordKey(new TeamId("hearth"), new IdempotencyKey("pay-1"));

	private static final KindName KIND = new KindName("settle");

	private static final EndpointId ENDPOINT = new EndpointId("e1");

	private static final RequestId ATTEMPT = new RequestId("region.0.1.1");

	private static final byte[] BODY = { 1, 2, 3 };

	private static final byte[] DIGEST = { 7 };

	private static final byte[] ANSWER = { 9 };

	private final List<byte[]> log = new ArrayList<>();

	private MonotonicTime now = MonotonicTime.ofMillis(0);

	private RequestRecords records = create(1);

	private static RequestRecords create(long epoch) {
		return new RequestRecords(RequestRecordSettings.defaults(), new ShardId("region", 0), new Epoch(epoch));
	}

	private RecordStep offer(byte[] digest, Optional<EndpointId> slot) {
		return this.records.offer(this.now, KEY, KIND, BODY, digest, this.now.plusMillis(60_000), slot);
	}

	private List<RecordAction> commit(RecordStep step) {
		List<RecordAction> actions = new ArrayList<>(step.actions());
		this.log.addAll(step.entries());
		if (!step.entries().isEmpty()) {
			RecordStep follow = this.records.commitCompleted(this.now, step.id());
			actions.addAll(commit(follow));
		}
		return actions;
	}

	private List<RecordAction> takeOver(long epoch) {
		this.records = create(epoch);
		return this.records.recover(this.now, Optional.empty(), this.log).actions();
	}

	@Test
	void acceptsAndDispatchesInOneCommitWhenASlotIsFree() {
		RecordStep step = offer(DIGEST, Optional.of(ENDPOINT));
		assertThat(step.entries()).hasSize(2);
		assertThat(commit(step)).containsExactly(new RecordAction.NotifyAccepted(KEY),
				new RecordAction.SendAttempt(KEY, KIND, ENDPOINT, ATTEMPT, BODY));
	}

	@Test
	void publishesTheAnswerOnlyAfterItIsDurableAndKeepsIt() {
		commit(offer(DIGEST, Optional.of(ENDPOINT)));
		RecordStep step = this.records.attemptCompleted(this.now, KEY, ATTEMPT,
				new EndpointOutcome.Answered(200, "text/plain", ANSWER));
		RequestOutcome answer = new RequestOutcome.Answered(200, "text/plain", ANSWER);
		assertThat(this.records.findOutcome(KEY)).contains(new RequestOutcome.Accepted(KEY.key()));
		assertThat(commit(step)).containsExactly(new RecordAction.PublishOutcome(KEY, answer));
		takeOver(2);
		assertThat(offer(DIGEST, Optional.empty()).actions())
			.containsExactly(new RecordAction.PublishOutcome(KEY, answer));
		this.now = this.now.plusMillis(60_000);
		commit(this.records.tick(this.now));
		assertThat(this.records.findOutcome(KEY)).isEmpty();
	}

	@Test
	void refusesTheSameKeyWithAnotherBody() {
		commit(offer(DIGEST, Optional.empty()));
		assertThat(offer(new byte[] { 8 }, Optional.empty()).actions())
			.containsExactly(new RecordAction.NotifyConflict(KEY));
	}

	@Test
	void sealsABrokenAttemptBeforeItIsDispatchedAgain() {
		commit(offer(DIGEST, Optional.of(ENDPOINT)));
		commit(this.records.attemptCompleted(this.now, KEY, ATTEMPT, new EndpointOutcome.Broken("reset")));
		assertThat(commit(this.records.lookUpCompleted(this.now, KEY, ATTEMPT, new KeyOutcome.Unseen())))
			.containsExactly(new RecordAction.Seal(KEY, ENDPOINT, ATTEMPT));
		assertThat(commit(this.records.dispatch(this.now, KEY, ENDPOINT)))
			.containsExactly(new RecordAction.ReleaseSlot(KEY, ENDPOINT));
		assertThat(commit(this.records.sealed(this.now, KEY, ATTEMPT, new KeyOutcome.Sealed())))
			.containsExactly(new RecordAction.RequestSlot(KEY, KIND));
		assertThat(commit(this.records.dispatch(this.now, KEY, ENDPOINT)))
			.hasOnlyElementsOfType(RecordAction.SendAttempt.class);
	}

	@Test
	void aRequestThatCrashesEndpointAfterEndpointIsGivenUp() {
		List<RecordAction> actions = commit(offer(DIGEST, Optional.of(ENDPOINT)));
		int sent = 0;
		for (int round = 0; round < 20; round++) {
			RecordAction last = actions.get(actions.size() - 1);
			if (!(last instanceof RecordAction.SendAttempt attempt)) {
				break;
			}
			sent++;
			commit(this.records.attemptCompleted(this.now, KEY, attempt.attempt(),
					new EndpointOutcome.Broken("reset")));
			commit(this.records.lookUpCompleted(this.now, KEY, attempt.attempt(), new KeyOutcome.Unseen()));
			commit(this.records.sealed(this.now, KEY, attempt.attempt(), new KeyOutcome.Sealed()));
			actions = commit(this.records.dispatch(this.now, KEY, ENDPOINT));
		}
		assertThat(sent).isEqualTo(5);
		assertThat(this.records.findOutcome(KEY).orElseThrow()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void reportsUnknownWhenTheEndpointDoesNotReply() {
		commit(offer(DIGEST, Optional.of(ENDPOINT)));
		assertThat(takeOver(2)).containsExactly(new RecordAction.LookUp(KEY, ENDPOINT, ATTEMPT));
		commit(this.records.lookUpCompleted(this.now, KEY, ATTEMPT, new KeyOutcome.NoReply("timeout")));
		this.now = this.now.plusMillis(60_000);
		assertThat(this.records.tick(this.now).actions())
			.containsExactly(new RecordAction.LookUp(KEY, ENDPOINT, ATTEMPT));
		assertThat(commit(this.records.lookUpCompleted(this.now, KEY, ATTEMPT, new KeyOutcome.NoReply("timeout"))))
			.containsExactly(new RecordAction.PublishOutcome(KEY, new RequestOutcome.Unknown(ATTEMPT)));
		assertThat(commit(this.records.dispatch(this.now, KEY, ENDPOINT)))
			.containsExactly(new RecordAction.ReleaseSlot(KEY, ENDPOINT));
	}

	@Test
	void reportsNotRunWhenTheLogRejectsTheAcceptance() {
		RecordStep step = offer(DIGEST, Optional.of(ENDPOINT));
		assertThat(this.records.commitRejected(this.now, step.id()).actions())
			.containsExactly(new RecordAction.ReleaseSlot(KEY, ENDPOINT), new RecordAction.NotifyNotAccepted(KEY,
					new RequestOutcome.NotRun(NotRunReason.STORE_UNAVAILABLE, 2_000)));
		assertThat(this.records.size()).isZero();
	}

	@Test
	void doesNotDispatchACancelledRequestAgain() {
		commit(offer(DIGEST, Optional.of(ENDPOINT)));
		commit(this.records.cancel(this.now, KEY));
		RequestOutcome cancelled = new RequestOutcome.NotRun(NotRunReason.CANCELLED, 0);
		assertThat(commit(this.records.attemptCompleted(this.now, KEY, ATTEMPT, new EndpointOutcome.Refused(false))))
			.containsExactly(new RecordAction.PublishOutcome(KEY, cancelled));
	}

	@Test
	void cancelsARequestWhoseAcceptanceIsNotDurableYet() {
		RecordStep step = offer(DIGEST, Optional.empty());
		this.records.cancel(this.now, KEY);
		assertThat(commit(step))
			.contains(new RecordAction.PublishOutcome(KEY, new RequestOutcome.NotRun(NotRunReason.CANCELLED, 0)));
	}

	@Test
	void requestsASlotAgainAfterTheLogRejectedTheDispatch() {
		commit(offer(DIGEST, Optional.empty()));
		RecordStep dispatch = this.records.dispatch(this.now, KEY, ENDPOINT);
		assertThat(this.records.dispatch(this.now, KEY, ENDPOINT).actions())
			.containsExactly(new RecordAction.ReleaseSlot(KEY, ENDPOINT));
		assertThat(this.records.commitRejected(this.now, dispatch.id()).actions())
			.containsExactly(new RecordAction.ReleaseSlot(KEY, ENDPOINT));
		this.now = this.now.plusMillis(1_000);
		assertThat(commit(this.records.tick(this.now))).containsExactly(new RecordAction.RequestSlot(KEY, KIND));
	}

	@Test
	void reportsThatARequestDidNotRunBeforeItsRetentionEnded() {
		commit(offer(DIGEST, Optional.empty()));
		this.now = this.now.plusMillis(60_000);
		assertThat(commit(this.records.tick(this.now))).containsExactly(
				new RecordAction.PublishOutcome(KEY, new RequestOutcome.NotRun(NotRunReason.DEADLINE_PASSED, 0)));
	}

	@Test
	void refusesASnapshotOfAnUnknownFormatVersion() {
		assertThat(create(2).recover(this.now, Optional.of(new byte[] { 9 }), List.of()).actions())
			.containsExactly(new RecordAction.RecoveryFailed("record snapshot has format version 9, expected 1"));
	}

}
