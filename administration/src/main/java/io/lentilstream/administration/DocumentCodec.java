package io.lentilstream.administration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.lentilstream.model.Revision;

/**
 * Encodes settings documents as JSON and decodes them. Paths are stored relative to the
 * document.
 */
public final class DocumentCodec {

	/**
	 * The version of the format. Documents of other versions are rejected.
	 */
	public static final int FORMAT_VERSION = 1;

	/**
	 * The maximum number of changes in the history of a document.
	 */
	public static final int MAX_CHANGES = 50;

	/**
	 * The maximum size of the history of a document, in bytes. It is limited because
	 * watchers receive the history with each change.
	 */
	public static final int MAX_HISTORY_BYTES = 64 * 1024;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private DocumentCodec() {
	}

	/**
	 * Encodes a document, without the oldest changes if the history exceeds its limits.
	 * The last change is always kept, since it tells whether a write took effect whose
	 * reply was lost.
	 * @param path the path of the document
	 * @param document the document
	 * @return the bytes for the store
	 */
	public static byte[] encode(String path, StoredDocument document) {
		ObjectNode root = encodeValues(path, document);
		List<ObjectNode> kept = new ArrayList<>();
		int bytes = 0;
		List<ChangeRecord> changes = document.changes();
		for (int i = changes.size() - 1; i >= 0 && kept.size() < MAX_CHANGES; i--) {
			ObjectNode node = encodeChange(path, changes.get(i));
			bytes += toBytes(node).length;
			if (bytes > MAX_HISTORY_BYTES && !kept.isEmpty()) {
				break;
			}
			kept.add(0, node);
		}
		ArrayNode array = root.putArray("changes");
		kept.forEach(array::add);
		return toBytes(root);
	}

	/**
	 * Encodes a document without its history, for the replicas on entry VMs.
	 * @param path the path of the document
	 * @param document the document
	 * @return the bytes for peers
	 */
	public static byte[] encodeWithoutHistory(String path, StoredDocument document) {
		return toBytes(encodeValues(path, document));
	}

	/**
	 * Decodes a document, with or without history.
	 * @param path the path of the document
	 * @param bytes the bytes
	 * @return the document, or the reason why it cannot be decoded
	 */
	public static DocumentOutcome decode(String path, byte[] bytes) {
		try {
			JsonNode root = MAPPER.readTree(bytes);
			if (root == null || !root.isObject()) {
				return new DocumentOutcome.Damaged("no JSON object");
			}
			int format = root.path("format").asInt();
			if (format != FORMAT_VERSION) {
				return new DocumentOutcome.UnknownFormat(format);
			}
			if (!root.path("revision").canConvertToLong() || root.path("revision").asLong() < 1) {
				return new DocumentOutcome.Damaged("no revision");
			}
			SortedMap<String, String> values = new TreeMap<>();
			Iterator<Map.Entry<String, JsonNode>> fields = root.path("settings").fields();
			while (fields.hasNext()) {
				Map.Entry<String, JsonNode> field = fields.next();
				values.put(path + field.getKey(), field.getValue().asText());
			}
			List<ChangeRecord> changes = new ArrayList<>();
			for (JsonNode node : root.path("changes")) {
				changes.add(decodeChange(path, node));
			}
			return new DocumentOutcome.Decoded(
					new StoredDocument(new Revision(root.path("revision").asLong()), values, changes));
		}
		catch (IOException | IllegalArgumentException ex) {
			// The message of the exception may hold values of the document.
			return new DocumentOutcome.Damaged(ex.getClass().getSimpleName());
		}
	}

	private static ObjectNode encodeValues(String path, StoredDocument document) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("format", FORMAT_VERSION);
		root.put("revision", document.revision().value());
		ObjectNode settings = root.putObject("settings");
		document.values().forEach((key, value) -> settings.put(relativePath(path, key), value));
		return root;
	}

	private static ObjectNode encodeChange(String path, ChangeRecord change) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("id", change.id().value());
		node.put("revision", change.revision().value());
		node.put("author", change.author());
		node.put("reason", change.reason());
		node.put("at", change.atMillis());
		ObjectNode edits = node.putObject("edits");
		new TreeMap<>(change.edits()).forEach((key, edit) -> {
			ObjectNode values = edits.putObject(relativePath(path, key));
			edit.before().ifPresent((value) -> values.put("before", value));
			edit.after().ifPresent((value) -> values.put("after", value));
		});
		return node;
	}

	private static ChangeRecord decodeChange(String path, JsonNode node) {
		Map<String, ChangeRecord.Edit> edits = new TreeMap<>();
		Iterator<Map.Entry<String, JsonNode>> fields = node.path("edits").fields();
		while (fields.hasNext()) {
			Map.Entry<String, JsonNode> field = fields.next();
			edits.put(path + field.getKey(),
					new ChangeRecord.Edit(text(field.getValue(), "before"), text(field.getValue(), "after")));
		}
		return new ChangeRecord(new ChangeId(node.path("id").asText()), new Revision(node.path("revision").asLong()),
				node.path("author").asText(), node.path("reason").asText(), node.path("at").asLong(), edits);
	}

	private static Optional<String> text(JsonNode node, String name) {
		return Optional.ofNullable(node.get(name)).map(JsonNode::asText);
	}

	private static String relativePath(String path, String key) {
		if (!key.startsWith(path + "/")) {
			throw new IllegalStateException("value is not in the document");
		}
		return key.substring(path.length());
	}

	private static byte[] toBytes(JsonNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("JSON serialization failed", ex);
		}
	}

}
