package io.lentilstream.settings.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an invalid settings file that is accepted, or whose mistakes are
 * reported only one at a time.
 */
class EntrySettingsTests {

	private static final String VALID = """
			# An entry VM.
			[vm]
			id = hearth-1
			zone = depot-a
			region = steppe
			[listen]
			http-host = 127.0.0.1
			peer-host = 127.0.0.1
			[peers]
			entry-vms = entry-2 zone-a 10.0.0.2:7070, entry-3 zone-b 10.0.0.3:7070
			[platform]
			base-url = http://127.0.0.1:8000/
			[keys]
			peer-key = 0123456789abcdef
			administrator-key = fedcba9876543210
			[leases]
			store-lease = 8s
			""";

	@TempDir
	private Path directory;

	@Test
	void readsAFileAndAppliesDefaults() throws IOException {
		EntrySettings settings = loaded(VALID);
		assertThat(settings.vm()).isEqualTo(new VmId("hearth-1"));
		assertThat(settings.httpAddress()).isEqualTo(new HostPort("127.0.0.1", 8080));
		assertThat(settings.peers()).extracting((peer) -> peer.vm() + " " + peer.zone() + " " + peer.address())
			.containsExactly("entry-2 zone-a 10.0.0.2:7070", "entry-3 zone-b 10.0.0.3:7070");
		assertThat(settings.platform().baseUrl()).isEqualTo("http://127.0.0.1:8000");
		assertThat(settings.leases().storeLease()).isEqualTo(Duration.ofSeconds(8));
		assertThat(settings.leases().outageGrace()).isEqualTo(Duration.ofMinutes(10));
		assertThat(settings.limits().requestBodyBytes()).isEqualTo(900_000);
		assertThat(settings.shards().perZone()).isEqualTo(8);
		assertThat(settings.logFormat()).isEqualTo(LogFormat.TEXT);
	}

	@Test
	void doesNotShowSecrets() throws IOException {
		assertThat(loaded(VALID).toString()).doesNotContain("0123456789abcdef", "fedcba9876543210");
		String invalid = VALID.replace("0123456789abcdef", "hunter2");
		assertThat(mistakes(invalid)).singleElement().asString().contains("7 characters").doesNotContain("hunter2");
	}

	@Test
	void readsAKeyFromASeparateFile() throws IOException {
		Path key = Files.writeString(this.directory.resolve("key"), "0123456789abcdef\n");
		EntrySettings settings = loaded(VALID.replace("peer-key = 0123456789abcdef", "peer-key-file = " + key));
		assertThat(settings.peerKey().matches("0123456789abcdef")).isTrue();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
							id = hearth-1                 | id = a/b                     | [vm] id: found 'a/b', expected an id of
							id = hearth-1                 | identity = x                 | [vm] identity: found an unknown key, expected a known name; the nearest is 'id'
							id = hearth-1                 | region2 = x                  | [vm] id: found nothing, expected an id of
							[peers]                       | [peer]                       | [peer] : found an unknown section, expected a known name; the nearest is 'peers'
							zone = depot-a                | zone = depot-a@zone = b      | [vm] zone: found the key more than once
							[peers]                       | [vm]                         | [vm] : found the section more than once
							entry-3 zone-b 10.0.0.3:7070  | entry-2 zone-a 10.0.0.2:7070 | [peers] entry-vms: found 'entry-2 zone-a 10.0.0.2:7070, entry-2 zone-a 10.0.0.2:7070', expected
							entry-3 zone-b 10.0.0.3:7070  | 10.0.0.3:7070 | [peers] entry-vms: found
							http://127.0.0.1:8000/        | ftp://x                      | [platform] base-url: found 'ftp://x', expected a URL
							store-lease = 8s              | store-lease = 8              | [leases] store-lease: found '8', expected a duration from 100ms to 10m
							store-lease = 8s              | store-lease = 99h            | [leases] store-lease: found '99h', expected a duration
							store-lease = 8s              | store-lease = 3s             | [leases] store-margin: found '2s', expected less than half of store-lease
							peer-key = 0123456789abcdef   | peer-key-file = /missing     | [keys] peer-key-file: found '/missing', expected the path of a readable file
							peer-key = 0123456789abcdef   | [logs]@format = xml          | [logs] format: found 'xml', expected one of text, json
							peer-key = 0123456789abcdef   | [logs]@format = json         | [keys] peer-key: found nothing, expected either peer-key or peer-key-file
							store-lease = 8s              | [limits]@frame = 900KB       | [limits] frame: found '900KB', expected at least request-body and 64KB
					# An entry VM.                | port = 1                     | [] port: found a key before the first section
							""")
	void reportsAMistakeWithSectionKeyFoundAndExpected(String text, String replacement, String line)
			throws IOException {
		assertThat(VALID).contains(text);
		assertThat(mistakes(VALID.replace(text, replacement.replace("@", "\n"))))
			.anySatisfy((mistake) -> assertThat(mistake.line()).contains("entry.ini: " + line));
	}

	@Test
	void reportsAllMistakesAtOnce() throws IOException {
		String invalid = VALID.replace("hearth-1", "a/b").replace("8s", "soon").replace("[peers]", "[pears]");
		assertThat(mistakes(invalid)).hasSize(3);
		String unreadable = VALID.replace("[leases]", "[leases").replace("[vm]", "[vm]]\n= 0123456789abcdef");
		assertThat(mistakes(unreadable)).hasSize(3)
			.extracting(SettingsFileMistake::section)
			.containsExactly("", "", "vm]");
		assertThat(mistakes(unreadable)).asString().doesNotContain("0123456789abcdef");
	}

	@Test
	void reportsAMissingFileAsOneMistake() {
		SettingsResult<EntrySettings> result = EntrySettings.load(this.directory.resolve("missing.ini"));
		assertThat(((SettingsResult.Invalid<EntrySettings>) result).mistakes()).singleElement()
			.asString()
			.contains("found no readable file");
	}

	private EntrySettings loaded(String text) throws IOException {
		SettingsResult<EntrySettings> result = load(text);
		assertThat(result).isInstanceOf(SettingsResult.Loaded.class);
		return ((SettingsResult.Loaded<EntrySettings>) result).settings();
	}

	private List<SettingsFileMistake> mistakes(String text) throws IOException {
		SettingsResult<EntrySettings> result = load(text);
		assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
		return ((SettingsResult.Invalid<EntrySettings>) result).mistakes();
	}

	private SettingsResult<EntrySettings> load(String text) throws IOException {
		return EntrySettings.load(Files.writeString(this.directory.resolve("entry.ini"), text));
	}

}
