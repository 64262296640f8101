package io.lentilstream.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that does not exit cleanly on SIGTERM and against log lines
 * that a log collector cannot parse.
 */
class LentilstreamTests {

	private static final long EXIT_TIMEOUT_SECONDS = 60;

	@TempDir
	private Path directory;

	@ParameterizedTest
	@CsvSource({ "text, INFO  standin: stopped", "json, standin: stopped" })
	void standinExitsWithStatusZeroOnSigterm(String format, String stopMessage) throws Exception {
		Path settings = Files.writeString(this.directory.resolve("standin.ini"),
				"[standin]\nseed = 7\n[zones]\nnames = a\n[logs]\nformat = " + format + "\n");
		Process process = start(settings);
		try (BufferedReader output = process.inputReader()) {
			String url = output.readLine();
			Request request = new Request.Builder().url(url + "/directory/a").build();
			try (Response response = new OkHttpClient().newCall(request).execute()) {
				assertThat(response.code()).isEqualTo(200);
			}
			process.destroy();
			assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isZero();
		}
		finally {
			process.destroyForcibly();
		}
		List<String> lines = Files.readAllLines(errorLog());
		assertThat(lines).hasSize(2);
		assertThat(lines.get(1)).contains(stopMessage);
		if (format.equals("json")) {
			assertThat(new ObjectMapper().readTree(lines.get(1)).get("message").textValue()).isEqualTo(stopMessage);
		}
	}

	private Process start(Path settings) throws IOException {
		return new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), Lentilstream.class.getName(), "standin", "--settings",
				settings.toString())
			.redirectError(errorLog().toFile())
			.start();
	}

	private Path errorLog() {
		return this.directory.resolve("errors");
	}

}
