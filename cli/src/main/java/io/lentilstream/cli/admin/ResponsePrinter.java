package io.lentilstream.cli.admin;

import java.io.PrintStream;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import io.lentilstream.cli.CommandContext;
import io.lentilstream.cli.ExitCode;

/**
 * A printer of API responses, as JSON or as indented text. Text of an error response goes
 * to the error stream; JSON always goes to the standard output.
 */
final class ResponsePrinter {

	private static final String INDENT = "  ";

	private final CommandContext context;

	private final boolean json;

	ResponsePrinter(CommandContext context, boolean json) {
		this.context = context;
		this.json = json;
	}

	ExitCode print(AdminClient.AdminResponse response) {
		PrintStream stream = response.isOk() ? this.context.out() : this.context.err();
		if (this.json) {
			this.context.out().println(response.body());
		}
		else if (response.isOk()) {
			printNode(stream, "", response.body());
		}
		else {
			stream.println(errorSummary(response));
			printNode(stream, INDENT, response.body().path("mistakes"));
			printNode(stream, INDENT, response.body().path("others"));
		}
		return response.isOk() ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

	private static String errorSummary(AdminClient.AdminResponse response) {
		JsonNode body = response.body();
		String text = body.path("title").asText(body.path("outcome").asText("status " + response.status()));
		String detail = body.path("detail").asText("");
		String id = body.path("id").asText("");
		return text + (detail.isEmpty() ? "" : ": " + detail) + (id.isEmpty() ? "" : " (id " + id + ")");
	}

	private static void printNode(PrintStream stream, String indent, JsonNode node) {
		if (node.isObject()) {
			for (Map.Entry<String, JsonNode> field : node.properties()) {
				printField(stream, indent, field.getKey(), field.getValue());
			}
		}
		else if (node.isArray()) {
			for (JsonNode element : node) {
				if (element.isContainerNode()) {
					stream.println(indent + "-");
					printNode(stream, indent + INDENT, element);
				}
				else {
					stream.println(indent + "- " + element.asText());
				}
			}
		}
	}

	private static void printField(PrintStream stream, String indent, String name, JsonNode value) {
		if (value.isContainerNode() && !value.isEmpty()) {
			stream.println(indent + name + ":");
			printNode(stream, indent + INDENT, value);
		}
		else {
			stream.println(indent + name + ": " + (value.isContainerNode() ? "none" : value.asText()));
		}
	}

}
