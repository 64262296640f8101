package io.lentilstream.administration;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.lentilstream.model.TeamId;

/**
 * Authenticates callers by their keys. The hashes of keys are compared in constant time.
 */
public final class AccessPolicy {

	private static final byte[] NO_HASH = new byte[32];

	private final byte[] administrator;

	/**
	 * Creates a policy.
	 * @param administrator the administrator's key from the process settings
	 */
	public AccessPolicy(AccessKey administrator) {
		this.administrator = administrator.digest();
	}

	/**
	 * Authenticates the holder of a key.
	 * @param presented the key that the caller presented
	 * @param valuesOf returns the effective settings of a team by full path
	 * @return the permissions; {@link Access.Denied} if the key is not valid
	 */
	public Access authenticate(AccessKey presented, Function<TeamId, Map<String, String>> valuesOf) {
		byte[] digest = presented.digest();
		Optional<TeamId> team = presented.team();
		Optional<String> name = presented.name();
		byte[] expected = NO_HASH;
		if (team.isPresent() && name.isPresent()) {
			String path = "/teams/" + team.get() + "/keys/" + name.get() + "/hash";
			expected = parseHash(valuesOf.apply(team.get()).get(path));
		}
		// Both comparisons are always made, so that the response time does not reveal
		// which teams and keys exist.
		boolean isAdministrator = MessageDigest.isEqual(digest, this.administrator);
		boolean isTeamKey = MessageDigest.isEqual(digest, expected);
		if (isAdministrator) {
			return new Access.Administrator();
		}
		return (isTeamKey && team.isPresent()) ? new Access.TeamOperator(team.get(), name.get()) : new Access.Denied();
	}

	private static byte[] parseHash(String hash) {
		boolean valid = hash != null && hash.matches("[0-9a-f]{64}");
		return valid ? HexFormat.of().parseHex(hash) : NO_HASH;
	}

	@Override
	public String toString() {
		return "AccessPolicy";
	}

}
