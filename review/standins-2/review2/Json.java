package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small JSON reader and writer. Whole numbers are read as {@code Long}.
 */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) new Json(text).value();
	}

	private Object value() {
		skipSpace();
		char c = this.text.charAt(this.at);
		switch (c) {
			case '{':
				return members();
			case '[':
				return elements();
			case '"':
				return string();
			case 't':
				this.at += 4;
				return Boolean.TRUE;
			case 'f':
				this.at += 5;
				return Boolean.FALSE;
			case 'n':
				this.at += 4;
				return null;
			default:
				return number();
		}
	}

	private Map<String, Object> members() {
		Map<String, Object> members = new LinkedHashMap<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != '}') {
			skipSpace();
			String name = string();
			skipSpace();
			this.at++;
			members.put(name, value());
			skipSpace();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipSpace();
			}
		}
		this.at++;
		return members;
	}

	private List<Object> elements() {
		List<Object> elements = new ArrayList<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != ']') {
			elements.add(value());
			skipSpace();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
			skipSpace();
		}
		this.at++;
		return elements;
	}

	private String string() {
		StringBuilder string = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c != '\\') {
				string.append(c);
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
		this.at++;
		return string.toString();
	}

	private Object number() {
		int start = this.at;
		while (this.at < this.text.length() && "+-.eE0123456789".indexOf(this.text.charAt(this.at)) >= 0) {
			this.at++;
		}
		String number = this.text.substring(start, this.at);
		if (number.matches("-?[0-9]+")) {
			return Long.valueOf(number);
		}
		return Double.valueOf(number);
	}

	private void skipSpace() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			String separator = "{";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				write(String.valueOf(entry.getKey()), out);
				out.append(':');
				write(entry.getValue(), out);
				separator = ",";
			}
			out.append(map.isEmpty() ? "{}" : "}");
		}
		else if (value instanceof Iterable<?> list) {
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
			for (int i = 0; i < string.length(); i++) {
				char c = string.charAt(i);
				if (c == '"' || c == '\\') {
					out.append('\\').append(c);
				}
				else if (c < ' ') {
					out.append(String.format("\\u%04x", (int) c));
				}
				else {
					out.append(c);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

}
