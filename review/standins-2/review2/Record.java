package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What was sent, answered and run, with the time since the start in milliseconds.
 */
final class Record {

	private final PrintWriter out;

	private final long startedAt = Store.millis();

	private final List<RunEvent> events = new ArrayList<>();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	synchronized void line(String text) {
		this.out.println(String.format("%8d  %s", Store.millis() - this.startedAt, text));
	}

	void started(String task, long run, String minion) {
		add(new RunEvent(Store.millis(), task, run, minion, "started"));
	}

	void ended(String task, long run, String minion, String how) {
		add(new RunEvent(Store.millis(), task, run, minion, how));
	}

	private synchronized void add(RunEvent event) {
		this.events.add(event);
		line("run   " + event.task + " run " + event.run + " on " + event.minion + ": " + event.how);
	}

	synchronized List<RunEvent> events(String job) {
		return this.events.stream().filter((event) -> event.task.startsWith(job)).toList();
	}

	record RunEvent(long at, String task, long run, String minion, String how) {
	}

}
