package io.lentilstream.settings.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A secret key. Its text does not appear in {@link #toString()}, so that it does not
 * reach logs, spans or error messages.
 */
public final class Secret {

	private final byte[] value;

	/**
	 * Creates a secret.
	 * @param value the text of the key
	 */
	public Secret(String value) {
		this.value = value.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the bytes of the key.
	 * @return a copy of the bytes
	 */
	public byte[] reveal() {
		return this.value.clone();
	}

	/**
	 * Compares a presented key with this one in constant time.
	 * @param presented the presented key
	 * @return {@code true} if they are equal
	 */
	public boolean matches(String presented) {
		return MessageDigest.isEqual(this.value, presented.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Secret that && MessageDigest.isEqual(this.value, that.value);
	}

	@Override
	public int hashCode() {
		return Secret.class.hashCode();
	}

	@Override
	public String toString() {
		return "(secret)";
	}

}
