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
 * The command that reads, changes and reverts settings by path.
 */
@Parameters(commandDescription = "Read and change settings: get PATH, list PATH, set PATH=VALUE..., unset PATH..., "
		+ "history DOCUMENT, revert DOCUMENT REVISION, change ID")
public final class ConfigCommand implements Command {

	private static final long IN_FORCE_TIMEOUT_MILLIS = 10_000;

	private static final long POLL_INTERVAL_MILLIS = 100;

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
	private Long expectedRevision;

	@Parameter(names = "--wait", description = "Wait until the change is in force and show the entry VMs that have it")
	private boolean waitUntilInForce;

	@Override
	public ExitCode run(CommandContext context) {
		List<String> operands = this.arguments.subList(1, this.arguments.size());
		try {
			AdminClient client = new AdminClient(this.options);
			ResponsePrinter printer = new ResponsePrinter(context, this.options.isJson());
			return run(context, client, printer, operands);
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

	private ExitCode run(CommandContext context, AdminClient client, ResponsePrinter printer, List<String> operands)
			throws IOException, InterruptedException {
		return switch (this.arguments.get(0)) {
			case "get" -> printer.print(client.get("/admin/settings" + pathOperand(operands, 1)));
			case "list" -> printer.print(client.get("/admin/settings" + pathOperand(operands, 1) + "?list=true"));
			case "history" -> printer.print(client.get("/admin/history" + pathOperand(operands, 1)));
			case "change" -> printer.print(client.get("/admin/changes/" + operand(operands, 0, 1)));
			case "set" -> printAndAwaitInForce(context, client, printer,
					client.post("/admin/settings", editsBody(operands, true)));
			case "unset" -> printAndAwaitInForce(context, client, printer,
					client.post("/admin/settings", editsBody(operands, false)));
			case "revert" ->
				printAndAwaitInForce(context, client, printer, client.post("/admin/revert", revertBody(operands)));
			default -> throw new IllegalArgumentException(
					"unknown action " + this.arguments.get(0) + "; see lentilstream config --help");
		};
	}

	private ExitCode printAndAwaitInForce(CommandContext context, AdminClient client, ResponsePrinter printer,
			AdminClient.AdminResponse response) throws IOException, InterruptedException {
		ExitCode code = printer.print(response);
		if (!this.waitUntilInForce || code != ExitCode.SUCCESS || this.dryRun) {
			return code;
		}
		String query = "/admin/in-force" + response.body().path("document").asText() + "?revision="
				+ response.body().path("revision").asLong();
		AdminClient.AdminResponse report = client.get(query);
		for (long waited = 0; waited < IN_FORCE_TIMEOUT_MILLIS && !isInForce(report); waited += POLL_INTERVAL_MILLIS) {
			Thread.sleep(POLL_INTERVAL_MILLIS);
			report = client.get(query);
		}
		printer.print(report);
		if (isInForce(report)) {
			return ExitCode.SUCCESS;
		}
		context.err().println("config: accepted, but some entry VMs are behind");
		return ExitCode.FAILED;
	}

	private static boolean isInForce(AdminClient.AdminResponse report) {
		return report.isOk() && report.body().path("behind").isEmpty();
	}

	private ObjectNode editsBody(List<String> operands, boolean set) {
		if (operands.isEmpty()) {
			throw new IllegalArgumentException("no path given");
		}
		ObjectNode body = changeBody();
		ObjectNode edits = body.putObject("edits");
		for (String edit : operands) {
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

	private ObjectNode revertBody(List<String> operands) {
		ObjectNode body = changeBody().put("document", pathOperand(operands, 2));
		try {
			return body.put("revision", Long.parseLong(operands.get(1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("expected the number of a revision, found " + operands.get(1));
		}
	}

	private ObjectNode changeBody() {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("reason", this.reason).put("author", this.author);
		body.put("dryRun", this.dryRun);
		if (this.expectedRevision != null) {
			body.put("expectedRevision", this.expectedRevision);
		}
		return body;
	}

	private static String pathOperand(List<String> operands, int count) {
		String path = operand(operands, 0, count);
		if (!path.startsWith("/")) {
			throw new IllegalArgumentException("expected a path that starts with /, found " + path);
		}
		return path;
	}

	private static String operand(List<String> operands, int index, int count) {
		if (operands.size() != count) {
			throw new IllegalArgumentException("expected " + count + " argument(s), found " + operands.size());
		}
		return operands.get(index);
	}

}
