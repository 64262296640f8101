package io.lentilstream.cli.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A response to a request of the demonstration.
 *
 * @param status the HTTP status code; 0 if the connection failed
 * @param body the response body; empty if the connection failed
 */
record DemoResponse(int status, byte[] body) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	boolean isOk() {
		return this.status == 200;
	}

	boolean isAccepted() {
		return this.status == 202;
	}

	boolean isNotRun() {
		return problemType().endsWith(":not-run");
	}

	boolean isOutcomeUnknown() {
		return problemType().endsWith(":outcome-unknown");
	}

	String outcome() {
		if (this.status == 0) {
			return "broken connection";
		}
		if (this.status == 200 || this.status == 202) {
			return (this.status == 200) ? "answered" : "accepted";
		}
		JsonNode body = json();
		String reason = body.path("reason").asText("");
		String type = body.path("type").asText("status " + this.status);
		return type.substring(type.lastIndexOf(':') + 1) + (reason.isEmpty() ? "" : " (" + reason + ")");
	}

	JsonNode json() {
		try {
			return MAPPER.readTree(this.body);
		}
		catch (java.io.IOException ex) {
			return MAPPER.createObjectNode();
		}
	}

	private String problemType() {
		return (this.status >= 400) ? json().path("type").asText("") : "";
	}

}
