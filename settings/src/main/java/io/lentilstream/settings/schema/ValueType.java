package io.lentilstream.settings.schema;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.lentilstream.model.Identifiers;

/**
 * The type of a setting. All numbers of a type are converted to the same unit.
 */
public enum ValueType {

	/** A duration such as {@code 250ms}, converted to milliseconds. */
	DURATION("duration", Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L)),

	/** An amount of memory such as {@code 64GB}, converted to megabytes of 2^20 bytes. */
	MEMORY("amount of memory", Map.of("MB", 1L, "GB", 1_024L, "TB", 1_048_576L)),

	/** A number of cores such as {@code 0.5}, converted to thousandths of a core. */
	CORES("number of cores", Map.of("", 1_000L)),

	/** A percentage such as {@code 10%}. */
	PERCENT("percentage", Map.of("%", 1L)),

	/** A whole number. */
	INTEGER("whole number", Map.of("", 1L)),

	/** {@code true} or {@code false}. */
	BOOLEAN("true or false", Map.of()),

	/** One of a fixed set of words. */
	CHOICE("one of", Map.of()),

	/** The name of a service, kind, zone or region. */
	NAME("name", Map.of()),

	/** The SHA-256 hash of a key, as 64 hexadecimal digits; not shown in messages. */
	HASH("SHA-256 hash of 64 hexadecimal digits", Map.of());

	private final String description;

	private final Map<String, Long> units;

	ValueType(String description, Map<String, Long> units) {
		this.description = description;
		this.units = units;
	}

	/**
	 * Returns the description of the type in messages.
	 * @return a noun phrase, without the range
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Tells whether values of the type are numbers.
	 * @return whether {@link #number(String)} can parse them
	 */
	public boolean isNumber() {
		return !this.units.isEmpty();
	}

	/**
	 * Parses a number and converts it to the unit of the type.
	 * @param text the number with its unit
	 * @return the number, or empty if the text is not a valid number of this type
	 */
	public OptionalLong number(String text) {
		int end = 0;
		while (end < text.length() && (Character.digit(text.charAt(end), 10) >= 0 || text.charAt(end) == '.')) {
			end++;
		}
		Long unit = this.units.get(text.substring(end));
		// A number of more than 18 characters is outside of every range and may overflow.
		if (unit == null || end == 0 || end > 18) {
			return OptionalLong.empty();
		}
		try {
			BigDecimal number = new BigDecimal(text.substring(0, end)).multiply(BigDecimal.valueOf(unit));
			return OptionalLong.of(number.longValueExact());
		}
		catch (ArithmeticException | NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

	/**
	 * Formats a number with the largest unit that divides it.
	 * @param number the number in the unit of the type
	 * @return the text
	 */
	public String text(long number) {
		if (this == CORES) {
			return BigDecimal.valueOf(number, 3).stripTrailingZeros().toPlainString();
		}
		String unit = "";
		long size = 0;
		for (Map.Entry<String, Long> candidate : new LinkedHashMap<>(this.units).entrySet()) {
			boolean divides = number % candidate.getValue() == 0 && (number != 0 || candidate.getValue() == 1);
			if (divides && candidate.getValue() > size) {
				unit = candidate.getKey();
				size = candidate.getValue();
			}
		}
		return (number / Math.max(1, size)) + unit;
	}

	boolean accepts(String text) {
		return switch (this) {
			case BOOLEAN -> text.equals("true") || text.equals("false");
			case NAME -> Identifiers.isValid(text);
			case HASH -> text.matches("[0-9a-f]{64}");
			case CHOICE -> true;
			default -> number(text).isPresent();
		};
	}

}
