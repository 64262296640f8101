package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON. Whole numbers are read as longs. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		Object value = json.value();
		json.space();
		if (json.at != text.length()) {
			throw new IllegalArgumentException("text after the value at " + json.at);
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) parse(text);
	}

	@SuppressWarnings("unchecked")
	static List<Object> list(Object value) {
		return (value == null) ? List.of() : (List<Object>) value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> map(Object value) {
		return (Map<String, Object>) value;
	}

	static long number(Object value, long absent) {
		return (value instanceof Number number) ? number.longValue() : absent;
	}

	private void space() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	private Object value() {
		space();
		char next = this.text.charAt(this.at);
		if (next == '{') {
			return objectValue();
		}
		if (next == '[') {
			return listValue();
		}
		if (next == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && "+-.eE".indexOf(this.text.charAt(this.at)) >= 0
				|| this.at < this.text.length() && Character.isLetterOrDigit(this.text.charAt(this.at))) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.matches("-?[0-9]+")) ? (Object) Long.valueOf(word) : Double.valueOf(word);
		};
	}

	private Map<String, Object> objectValue() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		space();
		if (this.text.charAt(this.at) == '}') {
			this.at++;
			return map;
		}
		while (true) {
			space();
			String key = string();
			space();
			expect(':');
			map.put(key, value());
			space();
			if (this.text.charAt(this.at++) == '}') {
				return map;
			}
		}
	}

	private List<Object> listValue() {
		List<Object> list = new ArrayList<>();
		this.at++;
		space();
		if (this.text.charAt(this.at) == ']') {
			this.at++;
			return list;
		}
		while (true) {
			list.add(value());
			space();
			if (this.text.charAt(this.at++) == ']') {
				return list;
			}
		}
	}

	private void expect(char wanted) {
		if (this.text.charAt(this.at++) != wanted) {
			throw new IllegalArgumentException("no " + wanted + " at " + (this.at - 1));
		}
	}

	private String string() {
		expect('"');
		StringBuilder string = new StringBuilder();
		while (true) {
			char next = this.text.charAt(this.at++);
			if (next == '"') {
				return string.toString();
			}
			if (next != '\\') {
				string.append(next);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> string.append('\n');
				case 't' -> string.append('\t');
				case 'r' -> string.append('\r');
				case 'b' -> string.append('\b');
				case 'f' -> string.append('\f');
				case 'u' -> {
					string.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> string.append(escaped);
			}
		}
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String separator = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				write(entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
				separator = ",";
			}
			out.append('}');
		}
		else if (value instanceof List<?> list) {
			out.append('[');
			String separator = "";
			for (Object element : list) {
				out.append(separator);
				write(element, out);
				separator = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			out.append('"');
			for (char next : string.toCharArray()) {
				if (next == '"' || next == '\\') {
					out.append('\\').append(next);
				}
				else if (next < ' ') {
					out.append(String.format("\\u%04x", (int) next));
				}
				else {
					out.append(next);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

}
