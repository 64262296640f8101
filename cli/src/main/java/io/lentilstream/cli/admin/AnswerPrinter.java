package io.lentilstream.cli.admin;

import java.io.PrintStream;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import io.lentilstream.cli.CommandContext;
import io.lentilstream.cli.ExitCode;

/**
 * Prints answers of the API as JSON or as indented lines.
 */
final class AnswerPrinter {

	private static final String INDENT = "  ";

	private final CommandContext context;

	private final boolean json;

	AnswerPrinter(CommandContext context, boolean json) {
		this.context = context;
		this.json = json;
	}

	ExitCode print(AdminClient.Answer answer) {
		PrintStream stream = answer.isOk() ? this.context.out() : this.context.err();
		if (this.json) {
			this.context.out().println(answer.body());
		}
		else if (answer.isOk()) {
			lines(stream, "", answer.body());
		}
		else {
			stream.println(problem(answer));
			lines(stream, INDENT, answer.body().path("mistakes"));
			lines(stream, INDENT, answer.body().path("others"));
		}
		return answer.isOk() ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

	private static String problem(AdminClient.Answer answer) {
		JsonNode body = answer.body();
		String text = body.path("title").asText(body.path("outcome").asText("status " + answer.status()));
		String detail = body.path("detail").asText("");
		String id = body.path("id").asText("");
		return text + (detail.isEmpty() ? "" : ": " + detail) + (id.isEmpty() ? "" : " (id " + id + ")");
	}

	private static void lines(PrintStream stream, String indent, JsonNode node) {
		if (node.isObject()) {
			for (Map.Entry<String, JsonNode> field : node.properties()) {
				field(stream, indent, field.getKey(), field.getValue());
			}
		}
		else if (node.isArray()) {
			for (JsonNode element : node) {
				if (element.isContainerNode()) {
					stream.println(indent + "-");
					lines(stream, indent + INDENT, element);
				}
				else {
					stream.println(indent + "- " + element.asText());
				}
			}
		}
	}

	private static void field(PrintStream stream, String indent, String name, JsonNode value) {
		if (value.isContainerNode() && !value.isEmpty()) {
			stream.println(indent + name + ":");
			lines(stream, indent + INDENT, value);
		}
		else {
			stream.println(indent + name + ": " + (value.isContainerNode() ? "none" : value.asText()));
		}
	}

}
