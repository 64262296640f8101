package io.lentilstream.administration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.model.Revision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against documents that change when they are encoded and decoded, that grow
 * without bound, and that are accepted although they are damaged.
 */
class DocumentCodecTests {

	private static final String PATH = "/teams/bakery";

	private static final String TIMEOUT = PATH + "/services/bread/timeout";

	@Test
	void decodesWhatItEncoded() {
		StoredDocument document = document(3, "why \"not\"");
		assertThat(DocumentCodec.decode(PATH, DocumentCodec.encode(PATH, document)))
			.isEqualTo(new DocumentOutcome.Decoded(document));
	}

	@Test
	void omitsTheHistoryForReplicas() {
		StoredDocument document = document(3, "x");
		assertThat(DocumentCodec.decode(PATH, DocumentCodec.encodeWithoutHistory(PATH, document))).isEqualTo(
				new DocumentOutcome.Decoded(new StoredDocument(document.revision(), document.values(), List.of())));
	}

	@Test
	void keepsABoundedHistoryWithTheLastChange() {
		StoredDocument many = decoded(document(DocumentCodec.MAX_CHANGES + 9, "x"));
		assertThat(many.changes()).hasSize(DocumentCodec.MAX_CHANGES);
		assertThat(many.changes().get(DocumentCodec.MAX_CHANGES - 1).revision()).isEqualTo(many.revision());
		assertThat(decoded(document(9, "x".repeat(DocumentCodec.MAX_HISTORY_BYTES))).changes()).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "[]", "null", "{\"format\":2,\"revision\":1}", "{\"format\":1}",
			"{\"format\":1,\"revision\":0}", "{\"format\":1,\"revision\":\"x\"}",
			"{\"format\":1,\"revision\":1,\"changes\":[{\"id\":\"\"}]}" })
	void rejectsInvalidDocuments(String text) {
		assertThat(DocumentCodec.decode(PATH, text.getBytes(StandardCharsets.UTF_8)))
			.isNotInstanceOf(DocumentOutcome.Decoded.class);
	}

	private static StoredDocument decoded(StoredDocument document) {
		return ((DocumentOutcome.Decoded) DocumentCodec.decode(PATH, DocumentCodec.encode(PATH, document))).document();
	}

	private static StoredDocument document(int changes, String reason) {
		List<ChangeRecord> records = new ArrayList<>();
		for (int i = 1; i <= changes; i++) {
			records.add(new ChangeRecord(new ChangeId("teams:bakery:" + i), new Revision(i), "ada", reason, i,
					Map.of(TIMEOUT, new ChangeRecord.Edit(Optional.empty(), Optional.of("2s")))));
		}
		return new StoredDocument(new Revision(changes), new TreeMap<>(Map.of(TIMEOUT, "2s")), records);
	}

}
