package org.geraniumstand.decisions.orders;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.CRC32C;
import org.geraniumstand.model.id.TeamId;

/** Derives keys, fingerprints and slots of claims. */
public final class ClaimKeys {
    /** Number of slots that claims are spread over; it must not change while claims stand. */
    public static final int SLOTS = 1_024;

    private ClaimKeys() {}

    /**
     * Returns the key of a claim, so that teams cannot meet each other's claims and the store holds no caller's text.
     *
     * @param team the team
     * @param idempotencyKey the caller's key
     */
    public static String key(TeamId team, String idempotencyKey) {
        return digest(team.value(), idempotencyKey, ByteBuffer.allocate(0)).substring(0, 40);
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param body the body
     */
    public static String fingerprint(String method, String path, ByteBuffer body) {
        return digest(method, path, body);
    }

    /**
     * Returns the digest of a body in hexadecimal.
     *
     * @param body the body
     */
    public static String digest(ByteBuffer body) {
        return digest("", "", body);
    }

    /**
     * Returns the slot of a key, from 0.
     *
     * @param key the key of a claim
     */
    public static int slot(String key) {
        CRC32C crc = new CRC32C();
        crc.update(key.getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() % SLOTS);
    }

    private static String digest(String first, String second, ByteBuffer rest) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(first.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            sha.update(second.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            sha.update(rest);
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
