package io.lentilstream.settings.schema;

import java.util.List;
import java.util.OptionalLong;

/**
 * The definition of one setting.
 *
 * @param pattern the path; {@code *} matches any name
 * @param type the type, which implies the unit
 * @param minimum the minimum of a numeric type, in the unit of the type
 * @param maximum the maximum of a numeric type, in the unit of the type
 * @param choices the allowed values of a choice; empty for other types
 * @param defaultValue the value of a path that is not set; empty if there is none
 * @param documentation one sentence on what the setting does
 */
public record SettingDefinition(String pattern, ValueType type, long minimum, long maximum, List<String> choices,
		String defaultValue, String documentation) {

	/**
	 * Tells whether a value is valid.
	 * @param value the value
	 * @return whether it has the type and lies within the range
	 */
	public boolean accepts(String value) {
		if (this.type == ValueType.CHOICE) {
			return this.choices.contains(value);
		}
		if (!this.type.isNumber()) {
			return this.type.accepts(value);
		}
		OptionalLong number = this.type.number(value);
		return number.isPresent() && number.getAsLong() >= this.minimum && number.getAsLong() <= this.maximum;
	}

	/**
	 * Describes the valid values.
	 * @return the type with its range or choices
	 */
	public String expected() {
		if (this.type == ValueType.CHOICE) {
			return this.type.description() + " " + String.join(", ", this.choices);
		}
		if (!this.type.isNumber()) {
			return this.type.description();
		}
		return this.type.description() + " from " + this.type.text(this.minimum) + " to "
				+ this.type.text(this.maximum);
	}

	/**
	 * Returns a value in a form that is safe to show. The setting of a key's hash is
	 * treated as secret, since an operator may enter the key in place of its hash.
	 * @param value the value
	 * @return the value, or a text with its length if the setting is secret
	 */
	public String redact(String value) {
		return (this.type == ValueType.HASH) ? "text of " + value.length() + " characters" : value;
	}

	List<String> parts() {
		return List.of(this.pattern.substring(1).split("/"));
	}

}
