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
 * Holds the text of an access key, which is never shown by accident. Keys of teams have
 * the form {@code team/name/secret}.
 */
public final class AccessKey {

	private static final int SECRET_BYTES = 32;

	private final String text;

	/**
	 * Wraps a presented key.
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
			throw new IllegalArgumentException("invalid name of a key");
		}
		byte[] secret = new byte[SECRET_BYTES];
		random.nextBytes(secret);
		return new AccessKey(team + "/" + name + "/" + HexFormat.of().formatHex(secret));
	}

	/**
	 * Returns the hash that a document holds. Secrets are 32 random bytes, so a single
	 * SHA-256 cannot be reversed by trying.
	 * @return 64 hexadecimal digits
	 */
	public String hash() {
		return HexFormat.of().formatHex(digest());
	}

	/**
	 * Returns the text to hand to its holder once.
	 * @return the secret text
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
