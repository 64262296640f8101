package io.lentilstream.entry.http;

import java.util.Map;
import java.util.function.Function;

import io.jooby.Context;

import io.lentilstream.administration.Access;
import io.lentilstream.administration.AccessKey;
import io.lentilstream.administration.AccessPolicy;
import io.lentilstream.model.TeamId;

/**
 * The authentication of operators by the access key in the {@code Authorization} header.
 */
public final class AdministrationAuthenticator {

	private static final String BEARER = "Bearer ";

	private final AccessPolicy policy;

	private final Function<TeamId, Map<String, String>> valuesOf;

	/**
	 * Creates an authenticator.
	 * @param policy determines what a key allows
	 * @param valuesOf returns the settings in force of a team
	 */
	public AdministrationAuthenticator(AccessPolicy policy, Function<TeamId, Map<String, String>> valuesOf) {
		this.policy = policy;
		this.valuesOf = valuesOf;
	}

	Access authenticate(Context context) {
		String header = context.header("Authorization").value("");
		if (!header.startsWith(BEARER)) {
			return new Access.Denied();
		}
		return this.policy.authenticate(new AccessKey(header.substring(BEARER.length())), this.valuesOf);
	}

	static Object sendForbidden(Context context) {
		return HttpResponses.send(context, ProblemDetails.simple("forbidden", 403, "Not allowed",
				"The header Authorization must hold a key that allows this call."));
	}

}
