package org.geraniumstand.peer.net;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.geraniumstand.peer.codec.FieldWriter;

/**
 * Computes and verifies proofs that a process knows the key shared by all entry processes.
 *
 * <p>A proof is an HMAC-SHA-256 over the challenges of both sides.
 */
final class SharedKey {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    SharedKey(String secret) {
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Returns the proof of one side; it covers the role, so that neither side can reflect the proof of the other. */
    byte[] proof(Role role, HelloFrame opener, HelloFrame acceptor) {
        byte[] input = new FieldWriter()
                .fields(7)
                .text(role.name())
                .bytes(opener.challenge())
                .bytes(acceptor.challenge())
                .text(opener.process().value())
                .text(acceptor.process().value())
                .number(opener.level())
                .number(acceptor.level())
                .toBytes();
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(input);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime does not provide " + ALGORITHM, e);
        }
    }

    boolean matches(byte[] given, byte[] expected) {
        return MessageDigest.isEqual(given, expected);
    }

    /** Identifies the side of a connection that produces a proof. */
    enum Role {
        /** The side that opened the connection. */
        OPENER,
        /** The side that accepted the connection. */
        ACCEPTOR
    }
}
