package io.lentilstream.settings.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against examples and documentation that do not match the tables of keys, and
 * against invalid named sections that are accepted.
 */
class StandinSettingsTests {

	private static final Path ROOT = Path.of("..");

	private static final String VALID = """
			[standin]
			seed = 7
			[zones]
			names = a, b
			[workers]
			per-zone = 2
			memory = 1GiB
			[service pickups]
			team = ash
			endpoints-per-zone = 3
			[entry-vm e-1]
			zone = a
			address = 127.0.0.1:7070
			""";

	@TempDir
	private Path directory;

	@Test
	void readsNamedSections() throws IOException {
		StandinSettings settings = ((SettingsResult.Loaded<StandinSettings>) load(VALID)).settings();
		assertThat(settings.services()).singleElement().satisfies((service) -> {
			assertThat(service.name().value()).isEqualTo("pickups");
			assertThat(service.slots()).isEqualTo(8);
		});
		assertThat(settings.entryVms()).extracting((entry) -> entry.vm().value()).containsExactly("e-1");
		assertThat(settings.workerCapacity()).isEqualTo(new Resources(32_000, 1_024, 0));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
							zone = a          | zone = c            | [entry-vm e-1] zone: found 'c', expected one of a, b
							team = ash        | slot = 8            | [service pickups] slot: found an unknown key, expected a known name; the nearest is 'slots'
							team = ash        | slots = 8           | [service pickups] team: found nothing, expected an id
							[service pickups] | [services pickups]  | [services pickups] : found an unknown section, expected a known name; the nearest is 'service *'
							[service pickups] | [service a/b]       | [service a/b] : found 'a/b', expected a name of letters
							[service pickups] | [service ]          | [service] : found an unknown section
							names = a, b      | names =             | [zones] names: found '', expected a comma-separated list
							memory = 1GiB     | memory = 1G         | [workers] memory: found '1G', expected a size from 1MiB to 100000GB
							seed = 7          | seed = -7           | [standin] seed: found '-7', expected a whole number from 0
							seed = 7          | seed                | [standin] seed: found '', expected a whole number from 0
							seed = 7          | [                   | [] : found line 2, which cannot be read, expected [section], key = value
					seed = 7          | = 7                 | [] : found line 2, which cannot be read
					[zones]           | [zones              | [] : found line 3, which cannot be read
							""")
	void reportsMistakesOfNamedSections(String text, String replacement, String line) throws IOException {
		assertThat(VALID).contains(text);
		List<SettingsFileMistake> mistakes = ((SettingsResult.Invalid<StandinSettings>) load(
				VALID.replace(text, replacement)))
			.mistakes();
		assertThat(mistakes).anySatisfy((mistake) -> assertThat(mistake.line()).contains("standin.ini: " + line));
	}

	static Stream<Path> examples() throws IOException {
		try (Stream<Path> files = Files.walk(ROOT.resolve("examples"))) {
			return files.filter((file) -> file.toString().endsWith(".ini")).sorted().toList().stream();
		}
	}

	@ParameterizedTest
	@MethodSource("examples")
	void acceptsTheExamples(Path file) {
		assertThat(ProcessSettings.check(file)).isInstanceOf(SettingsResult.Loaded.class);
	}

	@ParameterizedTest
	@CsvSource({ "steppe-hearth, 45, 45, 6, 3", "nyabugogo, 32, 32, 7, 4" })
	void hasExamplesWithTheSizesOfBothUsers(String user, int workers, int endpoints, int entryVms, int entryFiles)
			throws IOException {
		Path examples = ROOT.resolve("examples").resolve(user);
		StandinSettings settings = ((SettingsResult.Loaded<StandinSettings>) StandinSettings
			.load(examples.resolve("standin.ini"))).settings();
		int zones = settings.zones().size();
		assertThat(zones * settings.workersPerZone()).isEqualTo(workers);
		assertThat(zones * settings.services().get(0).endpointsPerZone()).isEqualTo(endpoints);
		assertThat(settings.entryVms()).hasSize(entryVms);
		List<Path> entries = examples()
			.filter((file) -> file.startsWith(examples) && file.getFileName().toString().startsWith("entry-"))
			.toList();
		assertThat(entries).hasSize(entryFiles).allSatisfy((file) -> {
			EntrySettings entry = ((SettingsResult.Loaded<EntrySettings>) EntrySettings.load(file)).settings();
			assertThat(settings.entryVms())
				.contains(new StandinSettings.EntryVm(entry.vm(), entry.zone(), entry.peerAddress()));
			assertThat(entry.platform().baseUrl()).isEqualTo("http://" + settings.listen());
		});
	}

	@Test
	void hasAnUpToDateReferencePage() throws IOException {
		assertThat(Files.readString(ROOT.resolve("docs/operators/process-settings.md")))
			.isEqualTo(ProcessSettings.documentation());
	}

	private SettingsResult<StandinSettings> load(String text) throws IOException {
		return StandinSettings.load(Files.writeString(this.directory.resolve("standin.ini"), text));
	}

}
