import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens to a file, with the time since the start in seconds. */
final class Record {

	private static final long STARTED = System.nanoTime();

	private static PrintWriter out;

	private Record() {
	}

	static synchronized void open(Path file) throws IOException {
		out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	/** The time since the start, in milliseconds on the steady clock. */
	static long now() {
		return (System.nanoTime() - STARTED) / 1_000_000;
	}

	static synchronized void line(String text) {
		out.printf(Locale.ROOT, "%8.3f  %s%n", now() / 1000.0, text);
	}

	static synchronized void close() {
		if (out != null) {
			out.flush();
		}
	}

}
