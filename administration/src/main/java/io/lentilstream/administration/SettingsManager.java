package io.lentilstream.administration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Revision;
import io.lentilstream.settings.schema.SettingDefinition;
import io.lentilstream.settings.schema.SettingsMistake;
import io.lentilstream.settings.schema.SettingsSchema;
import io.lentilstream.settings.schema.SettingsValidator;

/**
 * Reads and changes settings in the store. A change takes one read and one write, and
 * more writes if replies are lost; it is accepted only after a write took effect. No
 * future completes exceptionally.
 */
public final class SettingsManager {

	/**
	 * The maximum number of attempts of a write whose replies are lost.
	 */
	static final int MAX_ATTEMPTS = 3;

	private final StoreClient store;

	/**
	 * Creates a settings manager.
	 * @param store the store
	 */
	public SettingsManager(StoreClient store) {
		this.store = store;
	}

	/**
	 * Returns one setting.
	 * @param access the permissions of the caller
	 * @param path the path of the setting
	 * @return the value or its default
	 */
	public CompletableFuture<QueryOutcome<SettingView>> get(Access access, String path) {
		Optional<SettingDefinition> definition = SettingsSchema.find(path);
		if (definition.isEmpty()) {
			return completed(access.mayRead(path) ? new QueryOutcome.NotFound<>(path) : new QueryOutcome.Forbidden<>());
		}
		return query(access, path, (document) -> {
			String value = document.values().get(path);
			String shown = (value != null) ? definition.get().redact(value) : definition.get().defaultValue();
			return new QueryOutcome.Found<>(new SettingView(path, shown, value == null, document.revision()));
		});
	}

	/**
	 * Returns all values that are set below a path. Only the administrator can list the
	 * settings of all teams.
	 * @param access the permissions of the caller
	 * @param prefix the path of a subtree, such as {@code /teams/bakery/services} or
	 * {@code /teams}
	 * @return the values by path; secrets are redacted
	 */
	public CompletableFuture<QueryOutcome<SortedMap<String, String>>> list(Access access, String prefix) {
		String path = prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
		if (path.equals("/teams")) {
			return listTeams(access);
		}
		return query(access, path, (document) -> new QueryOutcome.Found<>(redact(document.values(), path)));
	}

	/**
	 * Changes several settings of one document atomically.
	 * @param access the permissions of the caller
	 * @param request the change
	 * @return the outcome
	 */
	public CompletableFuture<ChangeOutcome> set(Access access, ChangeRequest request) {
		return change(access, request, (document, edited) -> write(request, document, edited));
	}

	/**
	 * Validates a change without writing it.
	 * @param access the permissions of the caller
	 * @param request the change
	 * @return {@link ChangeOutcome.WouldBeAccepted}, or the reason why {@link #set} would
	 * reject the change now
	 */
	public CompletableFuture<ChangeOutcome> dryRun(Access access, ChangeRequest request) {
		return change(access, request,
				(document, edited) -> completed(new ChangeOutcome.WouldBeAccepted(document.path(),
						document.content().revision(), Difference.between(document.content().values(), edited))));
	}

	/**
	 * Compares two revisions of a document.
	 * @param access the permissions of the caller
	 * @param document the path of the document
	 * @param from the earlier revision
	 * @param to the later revision
	 * @return the differences
	 */
	public CompletableFuture<QueryOutcome<List<Difference>>> diff(Access access, String document, Revision from,
			Revision to) {
		return query(access, document, (content) -> {
			Optional<SortedMap<String, String>> before = content.valuesAt(from);
			Optional<SortedMap<String, String>> after = content.valuesAt(to);
			if (before.isEmpty() || after.isEmpty()) {
				return new QueryOutcome.NotFound<>("revision " + (before.isEmpty() ? from : to) + " of " + document);
			}
			return new QueryOutcome.Found<>(Difference.between(before.get(), after.get()));
		});
	}

	/**
	 * Returns the history of a document.
	 * @param access the permissions of the caller
	 * @param document the path of the document
	 * @return the kept changes, oldest first; secrets are redacted
	 */
	public CompletableFuture<QueryOutcome<List<ChangeRecord>>> history(Access access, String document) {
		return query(access, document, (content) -> new QueryOutcome.Found<>(redact(content.changes())));
	}

	/**
	 * Restores the values of an earlier revision of a document, as a new revision.
	 * @param access the permissions of the caller, which must allow each resulting change
	 * @param request the change; its edits are ignored
	 * @param document the path of the document
	 * @param revision the revision to restore
	 * @return the outcome
	 */
	public CompletableFuture<ChangeOutcome> revert(Access access, ChangeRequest request, String document,
			Revision revision) {
		if (!access.mayRead(document) || !refersTo(request.id(), document)) {
			return completed(new ChangeOutcome.Forbidden(document));
		}
		return load(document).thenCompose((loaded) -> {
			if (!(loaded instanceof LoadResult.Found found)) {
				return completed(new ChangeOutcome.Unavailable(((LoadResult.Failed) loaded).reason()));
			}
			Optional<SortedMap<String, String>> earlier = found.content().valuesAt(revision);
			if (earlier.isEmpty()) {
				return completed(new ChangeOutcome.NotInHistory(revision));
			}
			Map<String, Optional<String>> edits = new HashMap<>();
			found.content().values().keySet().forEach((path) -> edits.put(path, Optional.empty()));
			earlier.get().forEach((path, value) -> edits.put(path, Optional.of(value)));
			edits.entrySet()
				.removeIf((edit) -> edit.getValue()
					.equals(Optional.ofNullable(found.content().values().get(edit.getKey()))));
			ChangeRequest withEdits = new ChangeRequest(request.id(), request.author(), request.reason(),
					request.atMillis(), edits, request.expected());
			return checkAndApply(access, withEdits, found, (target, edited) -> write(withEdits, target, edited));
		});
	}

	/**
	 * Looks up the outcome of a change by its id.
	 * @param access the permissions of the caller
	 * @param id the id of the change
	 * @return the change, or {@link QueryOutcome.NotFound} if it is not in the history:
	 * it was rejected, is older than the history, or its write is still in progress
	 */
	public CompletableFuture<QueryOutcome<ChangeRecord>> statusOf(Access access, ChangeId id) {
		Optional<String> document = id.document();
		if (document.isEmpty()) {
			return completed(new QueryOutcome.NotFound<>("change " + id));
		}
		return query(access, document.get(), (content) -> {
			Optional<ChangeRecord> change = content.change(id);
			if (change.isEmpty()) {
				return new QueryOutcome.NotFound<>("change " + id);
			}
			return new QueryOutcome.Found<>(redact(List.of(change.get())).get(0));
		});
	}

	private <T> CompletableFuture<QueryOutcome<T>> query(Access access, String path,
			Function<StoredDocument, QueryOutcome<T>> reader) {
		if (!access.mayRead(path)) {
			return completed(new QueryOutcome.Forbidden<>());
		}
		Optional<String> document = SettingsSchema.documentOf(path);
		if (document.isEmpty()) {
			return completed(new QueryOutcome.NotFound<>(path));
		}
		return load(document.get()).thenApply((loaded) -> {
			if (loaded instanceof LoadResult.Found found) {
				return reader.apply(found.content());
			}
			return new QueryOutcome.Unavailable<>(((LoadResult.Failed) loaded).reason());
		});
	}

	private CompletableFuture<QueryOutcome<SortedMap<String, String>>> listTeams(Access access) {
		if (!access.mayRead("/teams")) {
			return completed(new QueryOutcome.Forbidden<>());
		}
		return this.store.list(new StoreKey("/teams/")).thenApply((outcome) -> {
			if (!(outcome instanceof ListOutcome.Listed listed)) {
				return new QueryOutcome.Unavailable<>("the store does not answer");
			}
			SortedMap<String, String> all = new TreeMap<>();
			for (StoredValue value : listed.values()) {
				String path = value.key().path();
				if (!(DocumentCodec.decode(path, value.value()) instanceof DocumentOutcome.Decoded decoded)) {
					return new QueryOutcome.Unavailable<>("the document " + path + " cannot be read");
				}
				all.putAll(redact(decoded.document().values(), path));
			}
			return new QueryOutcome.Found<>(all);
		});
	}

	private CompletableFuture<ChangeOutcome> change(Access access, ChangeRequest request,
			BiFunction<LoadResult.Found, SortedMap<String, String>, CompletableFuture<ChangeOutcome>> onValid) {
		Optional<String> forbidden = firstForbidden(access, request);
		if (forbidden.isPresent()) {
			return completed(new ChangeOutcome.Forbidden(forbidden.get()));
		}
		List<SettingsMistake> mistakes = validatePaths(request);
		if (!mistakes.isEmpty()) {
			return completed(new ChangeOutcome.Invalid(mistakes));
		}
		return load(request.id().document().orElseThrow()).thenCompose((loaded) -> {
			if (loaded instanceof LoadResult.Found found) {
				return checkAndApply(access, request, found, onValid);
			}
			return completed(new ChangeOutcome.Unavailable(((LoadResult.Failed) loaded).reason()));
		});
	}

	private CompletableFuture<ChangeOutcome> checkAndApply(Access access, ChangeRequest request, LoadResult.Found found,
			BiFunction<LoadResult.Found, SortedMap<String, String>, CompletableFuture<ChangeOutcome>> onValid) {
		Optional<String> forbidden = firstForbidden(access, request);
		if (forbidden.isPresent()) {
			return completed(new ChangeOutcome.Forbidden(forbidden.get()));
		}
		StoredDocument content = found.content();
		Optional<ChangeRecord> accepted = content.change(request.id());
		if (accepted.isPresent()) {
			return completed(new ChangeOutcome.Accepted(request.id(), found.path(), accepted.get().revision()));
		}
		if (request.expected().isPresent() && !request.expected().get().equals(content.revision())) {
			return completed(conflict(found.path(), content, request.expected().get()));
		}
		SortedMap<String, String> edited = new TreeMap<>(content.values());
		request.edits().forEach((path, value) -> StoredDocument.put(edited, path, value));
		List<SettingsMistake> mistakes = SettingsValidator.validate(edited);
		return mistakes.isEmpty() ? onValid.apply(found, edited) : completed(new ChangeOutcome.Invalid(mistakes));
	}

	private CompletableFuture<ChangeOutcome> write(ChangeRequest request, LoadResult.Found found,
			SortedMap<String, String> edited) {
		StoredDocument content = found.content();
		Map<String, ChangeRecord.Edit> edits = new HashMap<>();
		request.edits()
			.forEach((path, value) -> edits.put(path,
					new ChangeRecord.Edit(Optional.ofNullable(content.values().get(path)), value)));
		ChangeRecord record = new ChangeRecord(request.id(), content.revision().next(), request.author(),
				request.reason(), request.atMillis(), edits);
		List<ChangeRecord> changes = new ArrayList<>(content.changes());
		changes.add(record);
		byte[] bytes = DocumentCodec.encode(found.path(), new StoredDocument(record.revision(), edited, changes));
		if (bytes.length > StoreClient.MAX_VALUE_BYTES) {
			return completed(new ChangeOutcome.TooLarge(bytes.length, StoreClient.MAX_VALUE_BYTES));
		}
		StoreWrite write = StoreWrite.put(new StoreKey(found.path()), bytes, found.version());
		return writeWithRetries(write, record, false, 1);
	}

	private CompletableFuture<ChangeOutcome> writeWithRetries(StoreWrite write, ChangeRecord record, boolean replyLost,
			int attempt) {
		return this.store.write(write).thenCompose((outcome) -> {
			String path = write.key().path();
			if (outcome instanceof WriteOutcome.Written) {
				return completed(new ChangeOutcome.Accepted(record.id(), path, record.revision()));
			}
			if (outcome instanceof WriteOutcome.Conflict conflict) {
				return completed(resolveConflict(path, record, replyLost, conflict));
			}
			boolean maybeApplied = replyLost || outcome instanceof WriteOutcome.ReplyLost;
			if (!maybeApplied) {
				return completed(new ChangeOutcome.Unavailable(((WriteOutcome.NotWritten) outcome).reason()));
			}
			if (attempt >= MAX_ATTEMPTS) {
				return completed(new ChangeOutcome.Unknown(record.id()));
			}
			// The retry is safe: at most one write can match the expected version, and
			// the change id in the document tells whether it was this one.
			return writeWithRetries(write, record, true, attempt + 1);
		});
	}

	private ChangeOutcome resolveConflict(String path, ChangeRecord record, boolean replyLost,
			WriteOutcome.Conflict conflict) {
		if (conflict.current().isEmpty()) {
			return replyLost ? new ChangeOutcome.Unknown(record.id())
					: new ChangeOutcome.Conflict(path, Revision.NONE, List.of());
		}
		if (!(DocumentCodec.decode(path,
				conflict.current().get().value()) instanceof DocumentOutcome.Decoded decoded)) {
			return replyLost ? new ChangeOutcome.Unknown(record.id())
					: new ChangeOutcome.Unavailable("the document " + path + " cannot be read");
		}
		StoredDocument current = decoded.document();
		if (current.change(record.id()).isPresent()) {
			return new ChangeOutcome.Accepted(record.id(), path, record.revision());
		}
		Revision before = new Revision(record.revision().value() - 1);
		// The change may have been written, and then dropped from the history because of
		// later changes.
		if (replyLost && !current.hasAllChangesAfter(before)) {
			return new ChangeOutcome.Unknown(record.id());
		}
		return conflict(path, current, before);
	}

	private static ChangeOutcome conflict(String path, StoredDocument current, Revision base) {
		return new ChangeOutcome.Conflict(path, current.revision(), redact(current.changesAfter(base)));
	}

	private CompletableFuture<LoadResult> load(String path) {
		return this.store.read(new StoreKey(path)).thenApply((outcome) -> {
			if (!(outcome instanceof ReadOutcome.Read read)) {
				return new LoadResult.Failed("the store does not answer");
			}
			if (read.value().isEmpty()) {
				return new LoadResult.Found(path, StoredDocument.ABSENT, StoreWrite.ABSENT);
			}
			DocumentOutcome decoded = DocumentCodec.decode(path, read.value().get().value());
			if (decoded instanceof DocumentOutcome.Decoded found) {
				return new LoadResult.Found(path, found.document(), read.value().get().version());
			}
			return new LoadResult.Failed("the document " + path + " cannot be read");
		});
	}

	private static Optional<String> firstForbidden(Access access, ChangeRequest request) {
		return request.edits().keySet().stream().sorted().filter((path) -> !access.mayChange(path)).findFirst();
	}

	private static List<SettingsMistake> validatePaths(ChangeRequest request) {
		List<SettingsMistake> mistakes = new ArrayList<>();
		if (request.edits().isEmpty()) {
			mistakes.add(new SettingsMistake("", "no path", "at least one path to change"));
		}
		for (String path : new TreeMap<>(request.edits()).keySet()) {
			Optional<String> document = SettingsSchema.documentOf(path);
			if (document.isEmpty() || !refersTo(request.id(), document.get())) {
				mistakes.add(new SettingsMistake(path, "a path outside of the document of the change",
						"a path below " + request.id().document().orElse("a document")));
			}
		}
		return mistakes;
	}

	private static boolean refersTo(ChangeId id, String document) {
		return id.document().equals(Optional.of(document));
	}

	private static SortedMap<String, String> redact(Map<String, String> values, String path) {
		SortedMap<String, String> shown = new TreeMap<>();
		values.forEach((key, value) -> {
			if (key.equals(path) || key.startsWith(path + "/")) {
				shown.put(key, Access.redact(key, value));
			}
		});
		return shown;
	}

	private static List<ChangeRecord> redact(List<ChangeRecord> changes) {
		List<ChangeRecord> shown = new ArrayList<>();
		for (ChangeRecord change : changes) {
			Map<String, ChangeRecord.Edit> edits = new HashMap<>();
			change.edits()
				.forEach((path, edit) -> edits.put(path,
						new ChangeRecord.Edit(edit.before().map((value) -> Access.redact(path, value)),
								edit.after().map((value) -> Access.redact(path, value)))));
			shown.add(new ChangeRecord(change.id(), change.revision(), change.author(), change.reason(),
					change.atMillis(), edits));
		}
		return shown;
	}

	private static <T> CompletableFuture<T> completed(T outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

	private sealed interface LoadResult {

		record Found(String path, StoredDocument content, long version) implements LoadResult {
		}

		record Failed(String reason) implements LoadResult {
		}

	}

}
