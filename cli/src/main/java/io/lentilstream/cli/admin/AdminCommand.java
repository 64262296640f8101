package io.lentilstream.cli.admin;

import java.io.IOException;

import com.beust.jcommander.ParametersDelegate;

import io.lentilstream.cli.Command;
import io.lentilstream.cli.CommandContext;
import io.lentilstream.cli.ExitCode;

/**
 * A command that makes one call to a fixed path and prints the response. The call is a
 * GET unless a subclass overrides {@link #call}.
 */
abstract class AdminCommand implements Command {

	@ParametersDelegate
	private final AdminOptions options = new AdminOptions();

	private final String path;

	AdminCommand(String path) {
		this.path = path;
	}

	@Override
	public ExitCode run(CommandContext context) {
		try {
			AdminClient.AdminResponse response = call(new AdminClient(this.options), this.path);
			return new ResponsePrinter(context, this.options.isJson()).print(response);
		}
		catch (IOException ex) {
			context.err().println("cannot call " + this.options.url() + ": " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	AdminClient.AdminResponse call(AdminClient client, String target) throws IOException {
		return client.get(target);
	}

}
