package org.fescuehollow.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The hash under which keys are published. Stateless and safe for use by any thread. */
public final class KeyHash {
    private KeyHash() {}

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
