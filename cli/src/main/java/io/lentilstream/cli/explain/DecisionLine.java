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
 * A parsed line of a decision log.
 *
 * @param node the process that wrote the line
 * @param decision what was decided
 * @param subject the id of the job, task or VM that the decision concerns
 * @param run the run number; 0 if the line has none
 * @param lineIndex the index of the line in its file, from 0
 * @param fields all fields of the JSON object
 */
record DecisionLine(String node, String decision, String subject, int run, int lineIndex, JsonNode fields) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/** The decisions in the order of cause and effect. */
	private static final List<String> CAUSAL_ORDER = List.of("job-refused", "job-submitted", "job-learnt", "task-waits",
			"run-adopted", "start-ordered", "copy-ordered", "start-refused", "start-unanswered", "run-paced",
			"stop-ordered", "task-ended", "run-lost", "job-cancelled", "job-ended");

	static Optional<DecisionLine> parse(String text, int lineIndex) {
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
					fields.path("subject").asText(), fields.path("run").asInt(0), lineIndex, fields));
		}
		catch (IOException ex) {
			// Skips a truncated line; the other lines of the log are still used.
			return Optional.empty();
		}
	}

	boolean concerns(String id) {
		return this.subject.equals(id) || this.subject.startsWith(id + ".");
	}

	/**
	 * Returns the stage of the job lifecycle to which the decision belongs.
	 * @return 0 for submission, 1 for the runs of its tasks, 2 for the end of the job
	 */
	int stage() {
		if (this.decision.equals("job-ended") || this.decision.equals("job-cancelled")) {
			return 2;
		}
		return this.decision.startsWith("job-") ? 0 : 1;
	}

	int causalRank() {
		int causalRank = CAUSAL_ORDER.indexOf(this.decision);
		return (causalRank >= 0) ? causalRank : CAUSAL_ORDER.size();
	}

	String format() {
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
