package io.lentilstream.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.lentilstream.model.Identifiers;
import io.lentilstream.model.TeamId;

/**
 * An access key. Its text does not appear in {@link #toString()}. Keys of teams have the
 * form {@code team/name/secret}.
 */
public final class AccessKey {

	private static final int SECRET_BYTES = 32;

	private final String text;

	/**
	 * Creates a key from its text.
	 * @param text the text of the key
	 */
	public AccessKey(String text) {
		this.text = text;
	}

	/**
	 * Creates a new key of a team.
	 * @param team the team
	 * @param name the name of the key within the team
	 * @param random the source of the secret; must be cryptographically strong
	 * @return the key
	 */
	public static AccessKey create(TeamId team, String name, RandomGenerator random) {
		if (!Identifiers.isValid(name)) {
			throw new IllegalArgumentException("invalid access key name");
		}
		byte[] secret = new byte[SECRET_BYTES];
		random.nextBytes(secret);
		return new AccessKey(team + "/" + name + "/" + HexFormat.of().formatHex(secret));
	}

	/**
	 * Returns the hash that is stored in the settings. Secrets are 32 random bytes, so a
	 * single round of SHA-256 is safe from brute-force search.
	 * @return 64 hexadecimal digits
	 */
	public String hash() {
		return HexFormat.of().formatHex(digest());
	}

	/**
	 * Returns the text of the key, to be handed to its holder once.
	 * @return the text, including the secret
	 */
	public String reveal() {
		return this.text;
	}

	byte[] digest() {
		try {
			return MessageDigest.getInstance("SHA-256").digest(this.text.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing in this runtime", ex);
		}
	}

	Optional<TeamId> team() {
		return part(0).map(TeamId::new);
	}

	Optional<String> name() {
		return part(1);
	}

	private Optional<String> part(int index) {
		String[] parts = this.text.split("/", -1);
		return (parts.length == 3 && Identifiers.isValid(parts[index])) ? Optional.of(parts[index]) : Optional.empty();
	}

	@Override
	public String toString() {
		return "AccessKey";
	}

}
