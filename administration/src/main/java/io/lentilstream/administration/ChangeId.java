package io.lentilstream.administration;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lentilstream.model.Identifiers;
import io.lentilstream.settings.schema.SettingsSchema;

/**
 * The id of a change of settings. It contains the path of the document, so that the
 * outcome of a change can be looked up with one read.
 *
 * @param value the text of the id, such as {@code teams:bakery:1f9c66a02b7d4e01}
 */
public record ChangeId(String value) implements Comparable<ChangeId> {

	private static final String SEPARATOR = ":";

	public ChangeId {
		if (!Identifiers.isValid(value) || value.indexOf(SEPARATOR) < 0) {
			throw new IllegalArgumentException("invalid change id");
		}
	}

	/**
	 * Creates a random id for a new change.
	 * @param path a path within the document that changes
	 * @param random the source of randomness
	 * @return the id, or empty if no document can contain the path
	 */
	public static Optional<ChangeId> create(String path, RandomGenerator random) {
		String number = String.format("%016x", random.nextLong());
		return SettingsSchema.documentOf(path)
			.map((document) -> document.substring(1).replace("/", SEPARATOR) + SEPARATOR + number)
			.filter(Identifiers::isValid)
			.map(ChangeId::new);
	}

	/**
	 * Returns the document that the change applies to.
	 * @return the path of the document, or empty if the id names none
	 */
	public Optional<String> document() {
		String path = this.value.substring(0, this.value.lastIndexOf(SEPARATOR));
		// Team ids may contain the separator, so only the first one is replaced.
		return SettingsSchema.documentOf("/" + path.replaceFirst(SEPARATOR, "/"));
	}

	@Override
	public int compareTo(ChangeId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
