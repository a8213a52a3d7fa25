package org.fescuehollow.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The hash under which keys are published. Stateless and safe for use by any thread. */
public final class KeyHash {
    private KeyHash() {}

    /**
     * Compares two hashes in a time that doesn't tell where they differ.
     *
     * @param a a hash in hex
     * @param b another
     * @return true if they are the same text
     */
    public static boolean areEqual(String a, String b) {
        return MessageDigest.isEqual(
                a.getBytes(StandardCharsets.US_ASCII), b.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Hashes a key.
     *
     * @param key the key as the caller sends it
     * @return SHA-256 as lower-case hex
     */
    public static String of(String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] sum = sha.digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sum);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("expected SHA-256 in this Java runtime", e);
        }
    }
}
