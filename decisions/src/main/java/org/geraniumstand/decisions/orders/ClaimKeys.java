package org.geraniumstand.decisions.orders;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.CRC32C;
import org.geraniumstand.model.id.TeamId;

/** Derives the keys, fingerprints and slots of claims. */
public final class ClaimKeys {
    /** Number of slots that claims are distributed over; it must not change while claims are stored. */
    public static final int SLOTS = 1_024;

    private ClaimKeys() {}

    /**
     * Returns the key of a claim; it is a digest, so that teams cannot access each other's claims and the store holds
     * no text of callers.
     *
     * @param team the team
     * @param idempotencyKey the idempotency key sent by the caller
     */
    public static String key(TeamId team, String idempotencyKey) {
        return digest(team.value(), idempotencyKey, ByteBuffer.allocate(0)).substring(0, 40);
    }

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the HTTP method
     * @param path the path and the query
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
     * Returns the slot of a key, from 0 to {@link #SLOTS} - 1.
     *
     * @param key the key of a claim
     */
    public static int slot(String key) {
        CRC32C checksum = new CRC32C();
        checksum.update(key.getBytes(StandardCharsets.UTF_8));
        return (int) (checksum.getValue() % SLOTS);
    }

    private static String digest(String first, String second, ByteBuffer rest) {
        try {
            MessageDigest messageDigest = MessageDigest.getInstance("SHA-256");
            messageDigest.update(first.getBytes(StandardCharsets.UTF_8));
            messageDigest.update((byte) 0);
            messageDigest.update(second.getBytes(StandardCharsets.UTF_8));
            messageDigest.update((byte) 0);
            messageDigest.update(rest);
            return HexFormat.of().formatHex(messageDigest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
