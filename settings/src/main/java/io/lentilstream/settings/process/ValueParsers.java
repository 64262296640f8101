package io.lentilstream.settings.process;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.Identifiers;
import io.lentilstream.model.VmId;

/**
 * Creates the value parsers of the settings tables.
 */
final class ValueParsers {

	private static final Pattern DURATION = Pattern.compile("(\\d{1,12})(us|ms|s|m|h)");

	private static final Pattern SIZE = Pattern.compile("(\\d{1,12})(B|KB|MB|GB|KiB|MiB|GiB)");

	private static final Pattern HOST = Pattern.compile("[A-Za-z0-9]([A-Za-z0-9.-]{0,252}[A-Za-z0-9])?");

	private static final Pattern BASE_URL = Pattern.compile("http://([^/:]+):(\\d{1,5})(/[A-Za-z0-9._/-]*)?");

	private static final Map<String, Duration> DURATION_UNITS = Map.of("us", Duration.ofNanos(1_000), "ms",
			Duration.ofMillis(1), "s", Duration.ofSeconds(1), "m", Duration.ofMinutes(1), "h", Duration.ofHours(1));

	private static final Map<String, Long> SIZE_UNITS = Map.of("B", 1L, "KB", 1_000L, "MB", 1_000_000L, "GB",
			1_000_000_000L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

	private static final int MAX_PORT = 65_535;

	private ValueParsers() {
	}

	static <T> ValueParser<T> of(String expected, Function<String, Optional<T>> parser) {
		return new FunctionParser<>(expected, parser, false);
	}

	static ValueParser<Integer> integer(int minimum, int maximum) {
		return of("a whole number from " + minimum + " to " + maximum,
				(text) -> number(text).filter((value) -> value >= minimum && value <= maximum).map(Long::intValue));
	}

	static ValueParser<Long> seed() {
		return of("a whole number from 0 to " + Long.MAX_VALUE, ValueParsers::number);
	}

	private static Optional<Long> number(String text) {
		if (!text.matches("\\d{1,19}")) {
			return Optional.empty();
		}
		try {
			return Optional.of(Long.parseLong(text));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	static ValueParser<Duration> duration(String minimum, String maximum) {
		Duration lowest = parseDuration(minimum).orElseThrow();
		Duration highest = parseDuration(maximum).orElseThrow();
		return of("a duration from " + minimum + " to " + maximum + ", such as 250ms, 10s or 5m",
				(text) -> parseDuration(text)
					.filter((value) -> value.compareTo(lowest) >= 0 && value.compareTo(highest) <= 0));
	}

	private static Optional<Duration> parseDuration(String text) {
		Matcher matcher = DURATION.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		return Optional.of(DURATION_UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1))));
	}

	static ValueParser<Long> size(String minimum, String maximum) {
		long lowest = parseSize(minimum).orElseThrow();
		long highest = parseSize(maximum).orElseThrow();
		return of("a size from " + minimum + " to " + maximum + ", such as 16KB or 1MB",
				(text) -> parseSize(text).filter((value) -> value >= lowest && value <= highest));
	}

	private static Optional<Long> parseSize(String text) {
		Matcher matcher = SIZE.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long count = Long.parseLong(matcher.group(1));
		long unit = SIZE_UNITS.get(matcher.group(2));
		return (count <= Long.MAX_VALUE / unit) ? Optional.of(count * unit) : Optional.empty();
	}

	static <T> ValueParser<T> id(String noun, Function<String, T> constructor) {
		return of(noun + " of 1 to " + Identifiers.MAX_LENGTH + " letters, digits, '.', '_', ':' or '-'",
				(text) -> Identifiers.isValid(text) ? Optional.of(constructor.apply(text)) : Optional.empty());
	}

	static ValueParser<String> host() {
		return of("an IP address or host name", (text) -> Optional.of(text).filter(ValueParsers::isHost));
	}

	private static boolean isHost(String text) {
		return HOST.matcher(text).matches();
	}

	static ValueParser<Integer> port(boolean zeroAllowed) {
		return integer(zeroAllowed ? 0 : 1, MAX_PORT);
	}

	static ValueParser<HostPort> address() {
		return of("host:port with a port from 1 to " + MAX_PORT, ValueParsers::parseAddress);
	}

	private static Optional<HostPort> parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0 || !isHost(text.substring(0, colon))) {
			return Optional.empty();
		}
		return port(false).parse(text.substring(colon + 1)).map((port) -> new HostPort(text.substring(0, colon), port));
	}

	static ValueParser<ConfiguredPeer> peer() {
		return of("a VM id, its zone and host:port, separated by spaces, with a port from 1 to " + MAX_PORT,
				ValueParsers::parsePeer);
	}

	private static Optional<ConfiguredPeer> parsePeer(String text) {
		String[] parts = text.split(" +");
		if (parts.length != 3 || !Identifiers.isValid(parts[0]) || !Identifiers.isValid(parts[1])) {
			return Optional.empty();
		}
		return parseAddress(parts[2])
			.map((address) -> new ConfiguredPeer(new VmId(parts[0]), new AvailabilityZoneId(parts[1]), address));
	}

	static ValueParser<String> baseUrl() {
		return of("a URL such as http://10.0.0.1:8080", (text) -> {
			Matcher matcher = BASE_URL.matcher(text);
			boolean valid = matcher.matches() && isHost(matcher.group(1))
					&& port(false).parse(matcher.group(2)).isPresent();
			return valid ? Optional.of(text.replaceAll("/+$", "")) : Optional.empty();
		});
	}

	static <T> ValueParser<List<T>> list(ValueParser<T> element, int minimum) {
		return of(
				((minimum > 0) ? "" : "nothing or ") + "a comma-separated list without repetition, each part "
						+ element.expected(),
				(text) -> parseList(element, text).filter((list) -> list.size() >= minimum));
	}

	private static <T> Optional<List<T>> parseList(ValueParser<T> element, String text) {
		List<T> values = new ArrayList<>();
		if (text.isEmpty()) {
			return Optional.of(values);
		}
		for (String part : text.split(",", -1)) {
			Optional<T> value = element.parse(part.trim());
			if (value.isEmpty()) {
				return Optional.empty();
			}
			values.add(value.get());
		}
		return (new HashSet<>(values).size() == values.size()) ? Optional.of(List.copyOf(values)) : Optional.empty();
	}

	static <E extends Enum<E>> ValueParser<E> choice(Class<E> type) {
		List<String> names = new ArrayList<>();
		for (E constant : type.getEnumConstants()) {
			names.add(constant.name().toLowerCase(Locale.ROOT));
		}
		return of("one of " + String.join(", ", names), (text) -> {
			int index = names.indexOf(text);
			return (index >= 0) ? Optional.of(type.getEnumConstants()[index]) : Optional.empty();
		});
	}

	static ValueParser<Path> path() {
		return of("the path of a readable file",
				(text) -> text.isEmpty() ? Optional.empty() : Optional.of(Path.of(text)));
	}

	static ValueParser<Secret> secret(int minimumLength) {
		return new FunctionParser<>("a key of at least " + minimumLength + " characters",
				(text) -> (text.length() >= minimumLength) ? Optional.of(new Secret(text)) : Optional.empty(), true);
	}

	private record FunctionParser<T>(String expected, Function<String, Optional<T>> parser,
			boolean secret) implements ValueParser<T> {

		@Override
		public Optional<T> parse(String text) {
			return this.parser.apply(text);
		}

		@Override
		public boolean isSecret() {
			return this.secret;
		}

	}

}
