package io.lentilstream.cli.admin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.lentilstream.cli.Command;
import io.lentilstream.cli.CommandContext;
import io.lentilstream.cli.ExitCode;

/**
 * Reads and changes settings under paths.
 */
@Parameters(commandDescription = "Read and change settings: get PATH, list PATH, set PATH=VALUE..., unset PATH..., "
		+ "history DOCUMENT, revert DOCUMENT REVISION, change ID")
public final class ConfigCommand implements Command {

	private static final long WAIT_MILLIS = 10_000;

	private static final long POLL_MILLIS = 100;

	@ParametersDelegate
	private final AdminOptions options = new AdminOptions();

	@Parameter(description = "get|list|set|unset|history|revert|change and its arguments", required = true)
	private List<String> arguments = new ArrayList<>();

	@Parameter(names = "--reason", description = "Why the settings change, for the history")
	private String reason = "";

	@Parameter(names = "--author", description = "Who changes the settings, for the history")
	private String author = "";

	@Parameter(names = "--dry-run", description = "Only check the change and show the differences")
	private boolean dryRun;

	@Parameter(names = "--expect", description = "Revision that the document must have")
	private Long expected;

	@Parameter(names = "--wait", description = "Wait until the change is in force and show the entry VMs that have it")
	private boolean wait;

	@Override
	public ExitCode run(CommandContext context) {
		List<String> rest = this.arguments.subList(1, this.arguments.size());
		try {
			AdminClient client = new AdminClient(this.options);
			AnswerPrinter printer = new AnswerPrinter(context, this.options.isJson());
			return run(context, client, printer, rest);
		}
		catch (IllegalArgumentException ex) {
			context.err().println("config: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (IOException ex) {
			context.err().println("config: cannot call " + this.options.url() + ": " + ex.getMessage());
			return ExitCode.FAILED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILED;
		}
	}

	private ExitCode run(CommandContext context, AdminClient client, AnswerPrinter printer, List<String> rest)
			throws IOException, InterruptedException {
		return switch (this.arguments.get(0)) {
			case "get" -> printer.print(client.get("/admin/settings" + path(rest, 1)));
			case "list" -> printer.print(client.get("/admin/settings" + path(rest, 1) + "?list=true"));
			case "history" -> printer.print(client.get("/admin/history" + path(rest, 1)));
			case "change" -> printer.print(client.get("/admin/changes/" + argument(rest, 0, 1)));
			case "set" -> changed(context, client, printer, client.post("/admin/settings", edits(rest, true)));
			case "unset" -> changed(context, client, printer, client.post("/admin/settings", edits(rest, false)));
			case "revert" -> changed(context, client, printer, client.post("/admin/revert", revert(rest)));
			default -> throw new IllegalArgumentException(
					"unknown action " + this.arguments.get(0) + "; see lentilstream config --help");
		};
	}

	private ExitCode changed(CommandContext context, AdminClient client, AnswerPrinter printer,
			AdminClient.Answer answer) throws IOException, InterruptedException {
		ExitCode code = printer.print(answer);
		if (!this.wait || code != ExitCode.SUCCESS || this.dryRun) {
			return code;
		}
		String query = "/admin/in-force" + answer.body().path("document").asText() + "?revision="
				+ answer.body().path("revision").asLong();
		AdminClient.Answer report = client.get(query);
		for (long waited = 0; waited < WAIT_MILLIS && !isInForce(report); waited += POLL_MILLIS) {
			Thread.sleep(POLL_MILLIS);
			report = client.get(query);
		}
		printer.print(report);
		if (isInForce(report)) {
			return ExitCode.SUCCESS;
		}
		context.err().println("config: accepted, but some entry VMs are behind");
		return ExitCode.FAILED;
	}

	private static boolean isInForce(AdminClient.Answer report) {
		return report.isOk() && report.body().path("behind").isEmpty();
	}

	private ObjectNode edits(List<String> rest, boolean set) {
		if (rest.isEmpty()) {
			throw new IllegalArgumentException("no path given");
		}
		ObjectNode body = change();
		ObjectNode edits = body.putObject("edits");
		for (String edit : rest) {
			int equals = edit.indexOf('=');
			if (set && equals < 0) {
				throw new IllegalArgumentException("expected PATH=VALUE, found " + edit);
			}
			if (set) {
				edits.put(edit.substring(0, equals), edit.substring(equals + 1));
			}
			else {
				edits.putNull(edit);
			}
		}
		return body;
	}

	private ObjectNode revert(List<String> rest) {
		ObjectNode body = change().put("document", path(rest, 2));
		try {
			return body.put("revision", Long.parseLong(rest.get(1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("expected the number of a revision, found " + rest.get(1));
		}
	}

	private ObjectNode change() {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("reason", this.reason).put("author", this.author);
		body.put("dryRun", this.dryRun);
		if (this.expected != null) {
			body.put("expectedRevision", this.expected);
		}
		return body;
	}

	private static String path(List<String> rest, int count) {
		String path = argument(rest, 0, count);
		if (!path.startsWith("/")) {
			throw new IllegalArgumentException("expected a path that starts with /, found " + path);
		}
		return path;
	}

	private static String argument(List<String> rest, int index, int count) {
		if (rest.size() != count) {
			throw new IllegalArgumentException("expected " + count + " argument(s), found " + rest.size());
		}
		return rest.get(index);
	}

}
