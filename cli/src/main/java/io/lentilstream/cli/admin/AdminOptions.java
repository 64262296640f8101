package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameter;

/**
 * The options that all administration commands share.
 */
final class AdminOptions {

	private static final String KEY_VARIABLE = "LENTILSTREAM_KEY";

	@Parameter(names = "--url", description = "Base URL of an entry VM")
	private String url = "http://127.0.0.1:8080";

	@Parameter(names = "--key", description = "Access key; the environment variable " + KEY_VARIABLE
			+ " keeps it out of the list of processes")
	private String key = System.getenv().getOrDefault(KEY_VARIABLE, "");

	@Parameter(names = "--json", description = "Print the answer as JSON")
	private boolean json;

	String url() {
		return this.url.endsWith("/") ? this.url.substring(0, this.url.length() - 1) : this.url;
	}

	String key() {
		return this.key;
	}

	boolean isJson() {
		return this.json;
	}

}
