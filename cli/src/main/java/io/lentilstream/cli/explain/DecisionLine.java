package io.lentilstream.cli.explain;

import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Is a line of a decision log.
 *
 * @param node the process that wrote it
 * @param decision what was decided
 * @param subject the id of the job, task or VM that it is about
 * @param run the number of the run; 0 if there is none
 * @param position the position in its file
 * @param fields all fields
 */
record DecisionLine(String node, String decision, String subject, int run, int position, JsonNode fields) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/** Decisions in the order in which one leads to the next. */
	private static final List<String> ORDER = List.of("job-refused", "job-submitted", "job-learnt", "run-adopted",
			"start-ordered", "copy-ordered", "start-refused", "start-unanswered", "run-paced", "stop-ordered",
			"task-ended", "run-lost", "job-cancelled", "job-ended");

	static Optional<DecisionLine> parse(String text, int position) {
		int start = text.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode fields = JSON.readTree(text.substring(start));
			if (!fields.path("decision").isTextual() || !fields.path("subject").isTextual()) {
				return Optional.empty();
			}
			return Optional.of(new DecisionLine(fields.path("node").asText("?"), fields.path("decision").asText(),
					fields.path("subject").asText(), fields.path("run").asInt(0), position, fields));
		}
		catch (IOException ex) {
			// A line that was cut off; the others still tell the story.
			return Optional.empty();
		}
	}

	boolean concerns(String id) {
		return this.subject.equals(id) || this.subject.startsWith(id + ".");
	}

	/**
	 * Returns the stage of the decision in the life of a job.
	 * @return 0 for intake, 1 for runs of its tasks, 2 for its end
	 */
	int stage() {
		if (this.decision.equals("job-ended") || this.decision.equals("job-cancelled")) {
			return 2;
		}
		return this.decision.startsWith("job-") ? 0 : 1;
	}

	int rank() {
		int rank = ORDER.indexOf(this.decision);
		return (rank >= 0) ? rank : ORDER.size();
	}

	String text() {
		StringJoiner inputs = new StringJoiner(" ");
		Iterator<Map.Entry<String, JsonNode>> entries = this.fields.fields();
		while (entries.hasNext()) {
			Map.Entry<String, JsonNode> entry = entries.next();
			if (!List.of("node", "decision", "subject").contains(entry.getKey())) {
				inputs.add(entry.getKey() + "=" + entry.getValue().asText());
			}
		}
		return this.node + " " + this.decision + " " + this.subject + " " + inputs;
	}

}
