package io.lentilstream.settings.schema;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against invalid settings that are accepted, mistakes that are not reported, and
 * secrets in messages.
 */
class SettingsValidatorTests {

	private static final String BREAD = "/teams/bakery/services/bread/";

	private static final String ORDER = "/teams/bakery/kinds/order/";

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "/teams/bakery/services/bread/timeout | 0ms | duration from 1ms to 1h",
					"/teams/bakery/services/bread/timeout | 2h | duration from 1ms to 1h",
					"/teams/bakery/services/bread/timeout | 250 | duration from 1ms to 1h",
					"/teams/bakery/services/bread/timeout | -5s | duration from 1ms to 1h",
					"/teams/bakery/services/bread/timeout | 99999999999999999999s | duration from 1ms to 1h",
					"/teams/bakery/services/bread/timeout | . | duration from 1ms to 1h",
					"/teams/bakery/services/bread/timeout | `` | duration from 1ms to 1h",
					"/teams/bakery/services/bread/urgency | high | one of urgent, deferrable, batch",
					"/teams/bakery/services/bread/spill | yes | true or false",
					"/teams/bakery/services/bread/queue-limit | 1.5 | whole number from 0 to 100000",
					"/teams/bakery/services/bread/retry-budget | 101% | percentage from 0% to 100%",
					"/teams/bakery/quota/cores | 0.0001 | number of cores from 0 to 10000000",
					"/teams/bakery/quota/memory | 5kB | amount of memory from 0MB to 65536TB",
					"/platform/zones/a/region | a b | name",
					"/teams/bakery/kinds/order/keep-time | 0s | duration from 1s to 30d" })
	void rejectsAnInvalidValue(String path, String value, String expected) {
		assertThat(SettingsValidator.validate(Map.of(path, value)))
			.contains(new SettingsMistake(path, "\"" + value + "\"", expected));
	}

	@ParameterizedTest
	@CsvSource({ "/teams/bakery/services/bread/timout, /teams/bakery/services/bread/timeout",
			"/teams/bakery/servces/bread/timeout, /teams/bakery/services/bread/timeout",
			"/teams/bakery/quotas/cores, /teams/bakery/quota/cores",
			"/platfrom/zones/a/region, /platform/zones/a/region" })
	void suggestsTheNearestKnownSetting(String path, String nearest) {
		assertThat(SettingsValidator.validate(Map.of(path, "1s"))).containsExactly(new SettingsMistake(path,
				"an unknown setting", "a setting of the schema; did you mean " + nearest + "?"));
	}

	@ParameterizedTest
	@CsvSource({ "/teams/bakery", "/teams//services/bread/timeout", "timeout", "/", "/teams/bakery/xyzzyxyzzy/a",
			"/teams/../services/bread/timeout", "/platform/zones/region" })
	void rejectsAPathThatIsNotASetting(String path) {
		assertThat(SettingsValidator.validate(Map.of(path, "1s"))).extracting(SettingsMistake::found)
			.containsExactly("an unknown setting");
	}

	@Test
	void reportsAllMistakesAtOnce() {
		Map<String, String> values = new HashMap<>();
		values.put(BREAD + "timeout", "soon");
		values.put(BREAD + "weigth", "3");
		values.put(ORDER + "service", "cake");
		values.put("/teams/bakery/kinds/mail/keep-time", "1h");
		assertThat(SettingsValidator.validate(values)).extracting(SettingsMistake::path)
			.containsExactly(BREAD + "timeout", BREAD + "weigth", "/teams/bakery/kinds/mail/service",
					ORDER + "service");
	}

	@Test
	void checksRulesBetweenSettings() {
		assertThat(paths(Map.of(BREAD + "timeout", "1s", BREAD + "expected-time", "2s")))
			.containsExactly(BREAD + "expected-time");
		assertThat(paths(Map.of(BREAD + "repeatable", "false", BREAD + "hedging", "true")))
			.containsExactly(BREAD + "hedging");
		assertThat(paths(Map.of(BREAD + "timeout", "1s", ORDER + "service", "bread"))).isEmpty();
		assertThat(paths(Map.of(ORDER + "class", "batch"))).isEmpty();
	}

	@Test
	void doesNotShowASecretThatWasEnteredInPlaceOfItsHash() {
		String path = "/teams/bakery/keys/deploy/hash";
		assertThat(SettingsValidator.validate(Map.of(path, "bakery/deploy/topsecret"))).containsExactly(
				new SettingsMistake(path, "\"text of 23 characters\"", "SHA-256 hash of 64 hexadecimal digits"));
	}

	@Test
	void hasDefaultsWithinTheirRanges() {
		for (SettingDefinition definition : SettingsSchema.definitions()) {
			assertThat(definition.defaultValue().isEmpty() || definition.accepts(definition.defaultValue()))
				.as(definition.pattern())
				.isTrue();
		}
	}

	private static List<String> paths(Map<String, String> values) {
		return SettingsValidator.validate(values).stream().map(SettingsMistake::path).toList();
	}

}
