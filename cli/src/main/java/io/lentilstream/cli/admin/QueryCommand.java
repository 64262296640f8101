package io.lentilstream.cli.admin;

import java.io.IOException;

import com.beust.jcommander.ParametersDelegate;

import io.lentilstream.cli.Command;
import io.lentilstream.cli.CommandContext;
import io.lentilstream.cli.ExitCode;

/**
 * Prints the answer to one call without arguments.
 */
abstract class QueryCommand implements Command {

	@ParametersDelegate
	private final AdminOptions options = new AdminOptions();

	private final String path;

	QueryCommand(String path) {
		this.path = path;
	}

	@Override
	public ExitCode run(CommandContext context) {
		try {
			AdminClient.Answer answer = call(new AdminClient(this.options), this.path);
			return new AnswerPrinter(context, this.options.isJson()).print(answer);
		}
		catch (IOException ex) {
			context.err().println("cannot call " + this.options.url() + ": " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	AdminClient.Answer call(AdminClient client, String target) throws IOException {
		return client.get(target);
	}

}
