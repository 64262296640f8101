package io.lentilstream.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the exit statuses and output streams on which scripts rely.
 */
class CommandLineTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path directory;

	private Path invalidFile;

	@BeforeEach
	void writeInvalidFile() throws IOException {
		this.invalidFile = Files.writeString(this.directory.resolve("wrong.ini"),
				"[standin]\nsed = 7\n[zones]\nnames = a\n");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', nullValues = "-",
			textBlock = """
					--help                                                 | SUCCESS | standin                    | -
					check --help                                           | SUCCESS | Usage: lentilstream check                 | -
					standin --help                                         | SUCCESS | --settings                 | -
					check --settings ../examples/nyabugogo/standin.ini     | SUCCESS | standin.ini: no mistakes   | -
					check --settings ../examples/steppe-hearth/entry-depot-a.ini | SUCCESS | no mistakes          | -
					check --describe                                       | SUCCESS | # Process settings         | -
					-                                                      | USAGE   | -                          | no command given
					chek                                                   | USAGE   | -                          | chek
					check                                                  | USAGE   | -                          | --settings is missing
					check --setings x                                      | USAGE   | -                          | --setings
					check --settings missing.ini                           | USAGE   | -                          | found no readable file
					check --settings WRONG                                 | USAGE   | -                          | [standin] sed: found an unknown key, expected a known name; the nearest is 'seed'
					standin                                                | USAGE   | -                          | --settings
					standin --settings WRONG                               | USAGE   | -                          | [standin] seed: found nothing
					bench --help                                           | SUCCESS | --json                     | -
					bench                                                  | USAGE   | -                          | slopes
					bench slope                                            | USAGE   | -                          | expected slopes, found slope
					fail                                                   | FAILED  | -                          | lentilstream fail: failed
					""")
	void returnsTheExitCodeAndWritesToTheRightStream(String arguments, ExitCode code, String expectedOut,
			String expectedErr) {
		assertThat(run(arguments)).isEqualTo(code);
		assertContent(this.out, expectedOut);
		assertContent(this.err, expectedErr);
	}

	private static void assertContent(ByteArrayOutputStream stream, String expected) {
		if (expected == null) {
			assertThat(stream.toString(StandardCharsets.UTF_8)).isEmpty();
			return;
		}
		assertThat(stream.toString(StandardCharsets.UTF_8)).contains(expected);
	}

	@Test
	void printsAllSettingsMistakesAsJson() throws IOException {
		assertThat(run("check --json --settings WRONG")).isEqualTo(ExitCode.USAGE);
		JsonNode result = new ObjectMapper().readTree(this.out.toByteArray());
		assertThat(result.get("valid").booleanValue()).isFalse();
		assertThat(result.get("mistakes")).hasSize(2);
		assertThat(result.get("mistakes").get(0).get("key").textValue()).isEqualTo("sed");
	}

	private ExitCode run(String arguments) {
		CommandContext context = new CommandContext(new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8), new StopRequest());
		CommandRegistry registry = CommandRegistry.standard().register("fail", () -> (ignored) -> {
			throw new IllegalStateException("broken");
		});
		String[] parts = (arguments != null) ? arguments.replace("WRONG", this.invalidFile.toString()).split(" +")
				: new String[0];
		return new CommandLine(registry, context).run(parts);
	}

}
