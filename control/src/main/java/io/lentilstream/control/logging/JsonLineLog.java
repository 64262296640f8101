package io.lentilstream.control.logging;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import io.lentilstream.jobs.DecisionLog;

/**
 * Writes each decision as a JSON object on a line of its own. A separate thread writes
 * the lines, so that a blocked output never blocks the scheduler. Lines over the limits
 * are dropped and counted.
 */
public final class JsonLineLog implements DecisionLog {

	/**
	 * Maximum number of lines per second of the same decision; further ones are dropped.
	 */
	private static final int MAX_LINES_PER_SECOND = 200;

	/**
	 * The decisions of which there is one line per job, or per queue or job and second,
	 * and that the explanation of late jobs relies on.
	 */
	private static final Set<String> SUMMARIES = Set.of("job-times", "service-times", "room", "job-submitted",
			"job-refused");

	/** Maximum number of lines per second of the same summary. */
	private static final int MAX_SUMMARIES_PER_SECOND = 2000;

	private static final int MAX_QUEUED_LINES = 8000;

	/** The part of the queue that is kept for summaries, in lines. */
	private static final int QUEUED_SUMMARIES = 4000;

	/** Time between two writes, in milliseconds. */
	private static final long WRITE_INTERVAL_MILLIS = 100;

	private static final long SECOND_MILLIS = 1000;

	private final JsonFactory json = new JsonFactory();

	private final String node;

	private final LongSupplier wallClockMillis;

	private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final Map<String, Integer> linesThisSecond = new HashMap<>();

	private long second;

	private long droppedLines;

	/**
	 * Creates a log.
	 * @param node the name of the process, in each line
	 * @param wallClockMillis returns the wall-clock time, in milliseconds since 1970
	 */
	public JsonLineLog(String node, LongSupplier wallClockMillis) {
		this.node = node;
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Starts the thread that writes the lines.
	 * @param output the stream to write to
	 */
	public void start(PrintStream output) {
		Thread writer = new Thread(() -> write(output), "log-writer");
		writer.setDaemon(true);
		writer.start();
	}

	@Override
	public void append(String decision, Object subject, Object... inputs) {
		long time = this.wallClockMillis.getAsLong();
		if (overLimit(decision, time)) {
			this.droppedLines++;
			return;
		}
		boolean full = !SUMMARIES.contains(decision) && this.lines.remainingCapacity() <= QUEUED_SUMMARIES;
		if (full || !this.lines.offer(format(time, decision, subject, inputs))) {
			this.droppedLines++;
		}
	}

	private boolean overLimit(String decision, long time) {
		if (time / SECOND_MILLIS != this.second) {
			this.second = time / SECOND_MILLIS;
			this.linesThisSecond.clear();
			if (this.droppedLines > 0) {
				long count = this.droppedLines;
				this.droppedLines = 0;
				append("lines-left-out", this.node, "count", count);
			}
		}
		int limit = SUMMARIES.contains(decision) ? MAX_SUMMARIES_PER_SECOND : MAX_LINES_PER_SECOND;
		return this.linesThisSecond.merge(decision, 1, Integer::sum) > limit;
	}

	private String format(long time, String decision, Object subject, Object[] inputs) {
		StringWriter line = new StringWriter();
		try (JsonGenerator generator = this.json.createGenerator(line)) {
			generator.writeStartObject();
			generator.writeNumberField("time", time);
			generator.writeStringField("node", this.node);
			generator.writeStringField("decision", decision);
			generator.writeStringField("subject", String.valueOf(subject));
			for (int i = 0; i + 1 < inputs.length; i += 2) {
				writeValue(generator, String.valueOf(inputs[i]), inputs[i + 1]);
			}
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new IllegalStateException("could not write to an in-memory buffer", ex);
		}
		return line.toString();
	}

	private static void writeValue(JsonGenerator generator, String name, Object value) throws IOException {
		if (value instanceof Integer number) {
			generator.writeNumberField(name, number);
		}
		else if (value instanceof Long number) {
			generator.writeNumberField(name, number);
		}
		else if (value instanceof Double number) {
			generator.writeNumberField(name, number);
		}
		else if (value instanceof Boolean flag) {
			generator.writeBooleanField(name, flag);
		}
		else {
			generator.writeStringField(name, String.valueOf(value));
		}
	}

	private void write(PrintStream output) {
		List<String> batch = new ArrayList<>();
		while (!Thread.currentThread().isInterrupted()) {
			flush(output, batch);
			try {
				Thread.sleep(WRITE_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void flush(PrintStream output, List<String> batch) {
		this.lines.drainTo(batch);
		if (batch.isEmpty()) {
			return;
		}
		output.println(String.join("\n", batch));
		output.flush();
		batch.clear();
	}

	/**
	 * Writes the queued lines. Called at the end of the process.
	 * @param output the stream to write to
	 */
	public void flush(PrintStream output) {
		flush(output, new ArrayList<>());
	}

}
