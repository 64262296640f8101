package io.lentilstream.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Holds the key that all entry VMs share. The key is never shown.
 */
public final class PeerKey {

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	/**
	 * Creates a key.
	 * @param secret the secret text from the process settings; must not be empty
	 */
	public PeerKey(String secret) {
		this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
	}

	byte[] sign(byte[] message) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			return mac.doFinal(message);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HMAC-SHA-256 is missing in this runtime", ex);
		}
	}

	boolean verifies(byte[] message, byte[] signature) {
		return MessageDigest.isEqual(sign(message), signature);
	}

	@Override
	public String toString() {
		return "PeerKey";
	}

}
