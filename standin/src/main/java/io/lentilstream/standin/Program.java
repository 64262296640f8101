package io.lentilstream.standin;

import java.time.Duration;
import java.util.Optional;

/**
 * Is what a task's program does, read from its name. The parts of a name are separated by
 * semicolons, such as {@code sleep:200ms;use:1.5;noise:0.3;fail:bad input}.
 *
 * @param runTime processor-undisturbed run time
 * @param use use relative to the declared size
 * @param noise how much it slows down each other task on the VM; 0 is not at all
 * @param failure the reason with which it fails at its end, if it fails
 */
record Program(Duration runTime, double use, double noise, Optional<String> failure) {

	static Optional<Program> parse(String name) {
		Program program = new Program(Duration.ZERO, 1, 0, Optional.empty());
		for (String part : name.split(";")) {
			int colon = part.indexOf(':');
			Program next = (colon > 0) ? program.with(part.substring(0, colon), part.substring(colon + 1)) : null;
			if (next == null) {
				return Optional.empty();
			}
			program = next;
		}
		return Optional.of(program);
	}

	private Program with(String option, String value) {
		return switch (option) {
			case "sleep" -> value.matches("\\d{1,12}(us|ms|s)")
					? new Program(duration(value), this.use, this.noise, this.failure) : null;
			case "use" ->
				isFactor(value) ? new Program(this.runTime, Double.parseDouble(value), this.noise, this.failure) : null;
			case "noise" ->
				isFactor(value) ? new Program(this.runTime, this.use, Double.parseDouble(value), this.failure) : null;
			case "fail" -> new Program(this.runTime, this.use, this.noise, Optional.of(value));
			default -> null;
		};
	}

	private static boolean isFactor(String text) {
		return text.matches("\\d{1,4}(\\.\\d{1,6})?");
	}

	private static Duration duration(String text) {
		long count = Long.parseLong(text.replaceAll("\\D", ""));
		if (text.endsWith("us")) {
			return Duration.ofNanos(count * 1_000);
		}
		return text.endsWith("ms") ? Duration.ofMillis(count) : Duration.ofSeconds(count);
	}

}
