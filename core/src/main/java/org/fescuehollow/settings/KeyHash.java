package org.fescuehollow.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The hash in which API keys are published. Stateless and safe for use by any thread. */
public final class KeyHash {
    private KeyHash() {}

    /**
     * Compares two hashes in constant time, so that the time of a comparison doesn't reveal a key's
     * hash.
     *
     * @param a a hash in hex
     * @param b another hash in hex
     * @return true if the texts are equal, including upper and lower case
     */
    public static boolean areEqual(String a, String b) {
        return MessageDigest.isEqual(
                a.getBytes(StandardCharsets.US_ASCII), b.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Hashes a key.
     *
     * @param key the key as the client sends it
     * @return SHA-256 as lower-case hex
     */
    public static String of(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha256.digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("expected the Java runtime to support SHA-256", e);
        }
    }
}
