package io.lentilstream.settings.schema;

import java.util.List;
import java.util.OptionalLong;

/**
 * Defines one setting.
 *
 * @param pattern the path; {@code *} stands for a name
 * @param type the type, which implies the unit
 * @param minimum the smallest number, in the unit of the type
 * @param maximum the largest number, in the unit of the type
 * @param choices the words of a choice
 * @param defaultValue the value of a path that is not set; empty if there is none
 * @param documentation one sentence on what the setting does
 */
public record SettingDefinition(String pattern, ValueType type, long minimum, long maximum, List<String> choices,
		String defaultValue, String documentation) {

	/**
	 * Tells whether a value is allowed.
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
	 * Says what is expected.
	 * @return the type with its range or words
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
	 * Returns a value as it may be shown.
	 * @param value the value
	 * @return the value, or its length if the setting is secret; an operator may enter a
	 * key in place of its hash
	 */
	public String redact(String value) {
		return (this.type == ValueType.HASH) ? "text of " + value.length() + " characters" : value;
	}

	List<String> parts() {
		return List.of(this.pattern.substring(1).split("/"));
	}

}
