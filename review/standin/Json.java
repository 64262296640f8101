import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal reader and writer of JSON. */
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
		if (json.at < text.length()) {
			throw new IllegalArgumentException("trailing characters");
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) parse(text);
	}

	static Map<String, Object> map(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	static long number(Map<String, Object> map, String key, long otherwise) {
		return (map.get(key) instanceof Number number) ? number.longValue() : otherwise;
	}

	static String text(Map<String, Object> map, String key, String otherwise) {
		return (map.get(key) instanceof String string) ? string : otherwise;
	}

	static boolean flag(Map<String, Object> map, String key) {
		return Boolean.TRUE.equals(map.get(key));
	}

	private void space() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	private Object value() {
		space();
		char c = this.text.charAt(this.at);
		switch (c) {
			case '{': {
				this.at++;
				Map<String, Object> map = new LinkedHashMap<>();
				space();
				if (this.text.charAt(this.at) == '}') {
					this.at++;
					return map;
				}
				while (true) {
					space();
					String key = string();
					space();
					this.at++;
					map.put(key, value());
					space();
					if (this.text.charAt(this.at++) == '}') {
						return map;
					}
				}
			}
			case '[': {
				this.at++;
				List<Object> list = new ArrayList<>();
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
			default: {
				int start = this.at;
				boolean whole = true;
				while (this.at < this.text.length() && "+-0123456789.eE".indexOf(this.text.charAt(this.at)) >= 0) {
					whole &= ".eE".indexOf(this.text.charAt(this.at)) < 0;
					this.at++;
				}
				String number = this.text.substring(start, this.at);
				return whole ? (Object) Long.valueOf(number) : (Object) Double.valueOf(number);
			}
		}
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (true) {
			char c = this.text.charAt(this.at++);
			if (c == '"') {
				return out.toString();
			}
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char e = this.text.charAt(this.at++);
			switch (e) {
				case 'n' -> out.append('\n');
				case 't' -> out.append('\t');
				case 'r' -> out.append('\r');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(e);
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
			boolean first = true;
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				if (!first) {
					out.append(',');
				}
				first = false;
				write(entry.getKey(), out);
				out.append(':');
				write(entry.getValue(), out);
			}
			out.append('}');
		}
		else if (value instanceof List<?> list) {
			out.append('[');
			for (int i = 0; i < list.size(); i++) {
				if (i > 0) {
					out.append(',');
				}
				write(list.get(i), out);
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
