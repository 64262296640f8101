package io.lentilstream.administration;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.administration.FakeStore.Fault;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.model.Revision;
import io.lentilstream.model.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepted changes that are lost or applied twice, rejected changes that
 * take effect, and operators who can read or change the settings of another team.
 */
class SettingsManagerTests {

	private static final String DOCUMENT = "/teams/bakery";

	private static final String TIMEOUT = DOCUMENT + "/services/bread/timeout";

	private static final String WEIGHT = DOCUMENT + "/services/bread/weight";

	private static final Access ADMINISTRATOR = new Access.Administrator();

	private static final Access OPERATOR = new Access.TeamOperator(new TeamId("bakery"), "deploy");

	private final FakeStore store = new FakeStore();

	private final SettingsManager manager = new SettingsManager(this.store);

	private final Random random = new Random(1);

	@Test
	void changesSeveralPathsWithOneReadAndOneWrite() {
		assertThat(set(request(Map.of(TIMEOUT, "2s", WEIGHT, "5")))).isInstanceOf(ChangeOutcome.Accepted.class);
		assertThat(this.store.calls).isEqualTo(2);
		assertThat(value(TIMEOUT)).isEqualTo("2s");
		assertThat(value(WEIGHT)).isEqualTo("5");
	}

	@Test
	void writesNothingIfOneOfSeveralValuesIsInvalid() {
		ChangeOutcome outcome = set(request(Map.of(TIMEOUT, "2s", WEIGHT, "0")));
		assertThat(((ChangeOutcome.Invalid) outcome).mistakes()).hasSize(1);
		assertThat(this.store.values).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "'', Accepted, 2", "NOT_WRITTEN, Unavailable, 0", "LOST_APPLIED, Accepted, 2",
			"LOST_NOT_APPLIED, Accepted, 2", "LOST_APPLIED LOST_APPLIED LOST_APPLIED, Unknown, 2",
			"LOST_NOT_APPLIED LOST_NOT_APPLIED LOST_NOT_APPLIED, Unknown, 0",
			"LOST_NOT_APPLIED NOT_WRITTEN NOT_WRITTEN, Unknown, 0", "LOST_APPLIED NOT_WRITTEN, Accepted, 2" })
	void determinesTheOutcomeOfAFailedWrite(String faults, String outcome, int changedValues) {
		Arrays.stream(faults.split(" "))
			.filter((name) -> !name.isEmpty())
			.map(Fault::valueOf)
			.forEach(this.store.faults::add);
		ChangeRequest request = request(Map.of(TIMEOUT, "2s", WEIGHT, "5"));
		ChangeOutcome actual = set(request);
		assertThat(actual.getClass().getSimpleName()).isEqualTo(outcome);
		if (actual instanceof ChangeOutcome.Unknown unknown) {
			assertThat(unknown.id()).isEqualTo(request.id());
		}
		assertThat(stored().values()).hasSize(changedValues);
		assertThat(stored().changes()).hasSize((changedValues > 0) ? 1 : 0);
	}

	@Test
	void findsTheOutcomeOfAnUnknownChangeByItsId() {
		this.store.faults.addAll(List.of(Fault.LOST_APPLIED_LATER, Fault.LOST_NOT_APPLIED, Fault.LOST_NOT_APPLIED));
		ChangeRequest request = request(Map.of(TIMEOUT, "2s"));
		assertThat(set(request)).isEqualTo(new ChangeOutcome.Unknown(request.id()));
		assertThat(status(request)).isInstanceOf(QueryOutcome.NotFound.class);
		this.store.delayed.forEach(this.store::apply);
		assertThat(status(request)).isInstanceOf(QueryOutcome.Found.class);
		assertThat(set(request)).isEqualTo(new ChangeOutcome.Accepted(request.id(), DOCUMENT, new Revision(1)));
		assertThat(stored().revision()).isEqualTo(new Revision(1));
	}

	@Test
	void acceptsOneOfTwoConcurrentChangesAndReportsItToTheOther() {
		set(request(Map.of(TIMEOUT, "2s")));
		StoredValue seenByBoth = this.store.values.get(new StoreKey(DOCUMENT));
		ChangeRequest first = request(Map.of(TIMEOUT, "3s"));
		assertThat(set(first)).isInstanceOf(ChangeOutcome.Accepted.class);
		this.store.staleRead = Optional.of(seenByBoth);
		ChangeOutcome.Conflict conflict = (ChangeOutcome.Conflict) set(request(Map.of(TIMEOUT, "4s")));
		assertThat(conflict.current()).isEqualTo(new Revision(2));
		assertThat(conflict.others()).extracting(ChangeRecord::id).containsExactly(first.id());
		assertThat(stored().values()).containsEntry(TIMEOUT, "3s");
	}

	@Test
	void reportsNoConflictAfterALostReplyIfTheHistoryIsTooShort() {
		set(request(Map.of(TIMEOUT, "2s")));
		StoredValue seen = this.store.values.get(new StoreKey(DOCUMENT));
		for (int i = 0; i <= DocumentCodec.MAX_CHANGES; i++) {
			set(request(Map.of(WEIGHT, Integer.toString(i + 1))));
		}
		this.store.staleRead = Optional.of(seen);
		this.store.faults.add(Fault.LOST_NOT_APPLIED);
		assertThat(set(request(Map.of(TIMEOUT, "3s")))).isInstanceOf(ChangeOutcome.Unknown.class);
	}

	@Test
	void rejectsAChangeBasedOnAnOldRevision() {
		set(request(Map.of(TIMEOUT, "2s")));
		set(request(Map.of(TIMEOUT, "3s")));
		ChangeRequest late = request(Map.of(TIMEOUT, "4s"), Optional.of(new Revision(1)));
		assertThat(((ChangeOutcome.Conflict) set(late)).others()).hasSize(1);
		ChangeRequest current = request(Map.of(TIMEOUT, "4s"), Optional.of(new Revision(2)));
		assertThat(set(current)).isInstanceOf(ChangeOutcome.Accepted.class);
	}

	@Test
	void revertsAsANewRevision() {
		set(request(Map.of(TIMEOUT, "2s")));
		set(request(Map.of(TIMEOUT, "3s", WEIGHT, "9")));
		ChangeOutcome outcome = this.manager.revert(OPERATOR, request(Map.of()), DOCUMENT, new Revision(1)).join();
		assertThat(((ChangeOutcome.Accepted) outcome).revision()).isEqualTo(new Revision(3));
		assertThat(stored().values()).isEqualTo(Map.of(TIMEOUT, "2s"));
		assertThat(differences(2, 3)).hasSize(2);
		assertThat(differences(1, 3)).isEmpty();
		assertThat(this.manager.revert(OPERATOR, request(Map.of()), DOCUMENT, new Revision(9)).join())
			.isEqualTo(new ChangeOutcome.NotInHistory(new Revision(9)));
	}

	@Test
	void showsADryRunWithoutWriting() {
		set(request(Map.of(TIMEOUT, "2s")));
		ChangeOutcome outcome = this.manager.dryRun(OPERATOR, request(Map.of(TIMEOUT, "3s"))).join();
		assertThat(outcome).isEqualTo(new ChangeOutcome.WouldBeAccepted(DOCUMENT, new Revision(1),
				List.of(new Difference(TIMEOUT, Optional.of("2s"), Optional.of("3s")))));
		assertThat(stored().values()).containsEntry(TIMEOUT, "2s");
	}

	@ParameterizedTest
	@CsvSource({ "/teams/cafe/services/bread/timeout, 1s", "/teams/bakery/quota/slots, 9",
			"/platform/zones/a/region, r", "/teams/bakery2/services/a/timeout, 1s",
			"/teams/bakery/keys/x/hash, 0000000000000000000000000000000000000000000000000000000000000000" })
	void forbidsOperatorsToChangeWhatOnlyTheAdministratorMayChange(String path, String value) {
		ChangeId id = ChangeId.create(path, this.random).orElseThrow();
		ChangeRequest request = new ChangeRequest(id, "ada", "test", 0, Map.of(path, Optional.of(value)),
				Optional.empty());
		assertThat(this.manager.set(OPERATOR, request).join()).isEqualTo(new ChangeOutcome.Forbidden(path));
		assertThat(this.store.calls).isZero();
		assertThat(this.manager.set(ADMINISTRATOR, request).join()).isInstanceOf(ChangeOutcome.Accepted.class);
	}

	@ParameterizedTest
	@CsvSource({ "/teams/cafe", "/teams/bakery2/services", "/teams", "/platform", "/",
			"/teams/cafe/services/a/timeout" })
	void forbidsOperatorsToReadTheSettingsOfOthers(String path) {
		assertThat(this.manager.list(OPERATOR, path).join()).isInstanceOf(QueryOutcome.Forbidden.class);
		assertThat(this.manager.get(OPERATOR, path).join()).isInstanceOf(QueryOutcome.Forbidden.class);
		assertThat(this.manager.history(OPERATOR, path).join()).isInstanceOf(QueryOutcome.Forbidden.class);
		assertThat(this.manager.diff(OPERATOR, path, Revision.NONE, Revision.NONE).join())
			.isInstanceOf(QueryOutcome.Forbidden.class);
		assertThat(this.manager.revert(OPERATOR, request(Map.of()), path, Revision.NONE).join())
			.isInstanceOf(ChangeOutcome.Forbidden.class);
		assertThat(this.manager.statusOf(OPERATOR, new ChangeId("teams:cafe:1")).join())
			.isInstanceOf(QueryOutcome.Forbidden.class);
	}

	@Test
	void rejectsPathsOfTwoDocumentsInOneChange() {
		ChangeRequest request = request(Map.of(TIMEOUT, "2s", "/platform/zones/a/region", "r"));
		assertThat(this.manager.set(ADMINISTRATOR, request).join()).isInstanceOf(ChangeOutcome.Invalid.class);
		assertThat(this.store.values).isEmpty();
	}

	@Test
	void doesNotChangeADocumentOfAnUnknownFormat() {
		byte[] newer = "{\"format\":2,\"revision\":4,\"settings\":{}}".getBytes();
		this.store.values.put(new StoreKey(DOCUMENT), new StoredValue(new StoreKey(DOCUMENT), newer, 3));
		assertThat(set(request(Map.of(TIMEOUT, "2s")))).isInstanceOf(ChangeOutcome.Unavailable.class);
		assertThat(this.store.values.get(new StoreKey(DOCUMENT)).value()).isEqualTo(newer);
	}

	@Test
	void reportsThatTheStoreIsUnavailable() {
		this.store.down = true;
		assertThat(set(request(Map.of(TIMEOUT, "2s")))).isInstanceOf(ChangeOutcome.Unavailable.class);
		assertThat(this.manager.get(OPERATOR, TIMEOUT).join()).isInstanceOf(QueryOutcome.Unavailable.class);
	}

	@Test
	void doesNotShowHashes() {
		AccessKey key = AccessKey.create(new TeamId("bakery"), "deploy", this.random);
		String path = DOCUMENT + "/keys/deploy/hash";
		assertThat(this.manager.set(ADMINISTRATOR, request(Map.of(path, key.hash()))).join())
			.isInstanceOf(ChangeOutcome.Accepted.class);
		String shown = "" + this.manager.get(ADMINISTRATOR, path).join()
				+ this.manager.list(ADMINISTRATOR, "/teams").join()
				+ this.manager.history(ADMINISTRATOR, DOCUMENT).join()
				+ this.manager.diff(ADMINISTRATOR, DOCUMENT, Revision.NONE, new Revision(1)).join() + key
				+ request(Map.of(path, key.reveal())) + stored();
		assertThat(shown).doesNotContain(key.hash()).doesNotContain(key.reveal()).contains("text of 64 characters");
	}

	@Test
	void rejectsADocumentThatIsTooLargeForTheStore() {
		for (int i = 0; i < 10; i++) {
			ChangeOutcome outcome = set(request(bulk(i * 4_000)));
			if (outcome instanceof ChangeOutcome.TooLarge tooLarge) {
				assertThat(tooLarge.bytes()).isGreaterThan(StoreClient.MAX_VALUE_BYTES);
				return;
			}
		}
		throw new AssertionError("no change was refused");
	}

	private static Map<String, String> bulk(int first) {
		Map<String, String> values = new HashMap<>();
		for (int i = first; i < first + 4_000; i++) {
			values.put(DOCUMENT + "/services/" + "s".repeat(100) + i + "/timeout", "2s");
		}
		return values;
	}

	private ChangeRequest request(Map<String, String> values) {
		return request(values, Optional.empty());
	}

	private ChangeRequest request(Map<String, String> values, Optional<Revision> expected) {
		Map<String, Optional<String>> edits = new HashMap<>();
		values.forEach((path, value) -> edits.put(path, Optional.of(value)));
		return new ChangeRequest(ChangeId.create(DOCUMENT, this.random).orElseThrow(), "ada", "test", 0, edits,
				expected);
	}

	private ChangeOutcome set(ChangeRequest request) {
		return this.manager.set(OPERATOR, request).join();
	}

	private QueryOutcome<ChangeRecord> status(ChangeRequest request) {
		return this.manager.statusOf(OPERATOR, request.id()).join();
	}

	private List<Difference> differences(long from, long to) {
		return ((QueryOutcome.Found<List<Difference>>) this.manager
			.diff(OPERATOR, DOCUMENT, new Revision(from), new Revision(to))
			.join()).result();
	}

	private String value(String path) {
		return ((QueryOutcome.Found<SettingView>) this.manager.get(OPERATOR, path).join()).result().value();
	}

	private StoredDocument stored() {
		StoredValue value = this.store.values.get(new StoreKey(DOCUMENT));
		if (value == null) {
			return StoredDocument.ABSENT;
		}
		return ((DocumentOutcome.Decoded) DocumentCodec.decode(DOCUMENT, value.value())).document();
	}

}
