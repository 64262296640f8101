package io.lentilstream.entry.calls;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.lentilstream.model.Identifiers;
import io.lentilstream.model.JobId;
import io.lentilstream.model.KindName;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.JobSubmission;
import io.lentilstream.tasks.TaskDeclaration;

/**
 * The parser of job submissions in JSON.
 */
final class JobParser {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MILLI = 1_000;

	private JobParser() {
	}

	static JobSubmission parse(TeamId team, JobId job, byte[] body, DefaultTaskSizes defaults) throws IOException {
		JsonNode node = MAPPER.readTree(body);
		if (node == null || !node.isObject()) {
			throw new IllegalArgumentException("The body must be a JSON object.");
		}
		Urgency urgency = parseUrgency(node.path("urgency").asText("batch"));
		Resources size = defaultSize(team, node, defaults);
		List<TaskDeclaration> tasks = new ArrayList<>();
		for (JsonNode task : node.path("tasks")) {
			tasks.add(parseTask(task, size));
		}
		if (tasks.isEmpty()) {
			throw new IllegalArgumentException("The job needs a list \"tasks\" with at least one entry.");
		}
		return new JobSubmission(team, job, urgency, tasks);
	}

	private static Urgency parseUrgency(String text) {
		for (Urgency urgency : Urgency.values()) {
			if (urgency.name().toLowerCase(Locale.ROOT).equals(text)) {
				return urgency;
			}
		}
		throw new IllegalArgumentException("\"urgency\" must be urgent, deferrable or batch.");
	}

	private static Resources defaultSize(TeamId team, JsonNode node, DefaultTaskSizes defaults) {
		String kind = node.path("kind").asText("");
		if (!Identifiers.isValid(kind)) {
			throw new IllegalArgumentException("The job needs a valid \"kind\".");
		}
		return defaults.sizeOf(team, new KindName(kind));
	}

	private static TaskDeclaration parseTask(JsonNode task, Resources size) {
		String program = task.path("program").asText("");
		if (program.isEmpty()) {
			throw new IllegalArgumentException("Each task needs a \"program\".");
		}
		int count = task.path("count").asInt(1);
		if (count < 1) {
			throw new IllegalArgumentException("\"count\" must be at least 1.");
		}
		Resources declared = new Resources(
				task.has("cores") ? Math.round(task.path("cores").asDouble() * MILLI) : size.milliCores(),
				task.path("memoryMegabytes").asLong(size.memoryMegabytes()),
				task.path("accelerators").asLong(size.accelerators()));
		return new TaskDeclaration(declared, program, count);
	}

}
