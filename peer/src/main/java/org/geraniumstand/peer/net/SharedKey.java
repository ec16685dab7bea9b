package org.geraniumstand.peer.net;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.geraniumstand.peer.codec.FieldWriter;

/** Proves knowledge of the key that all entry processes share, by HMAC-SHA-256 over both sides' challenges. */
final class SharedKey {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    SharedKey(String secret) {
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Returns the proof of one side; the role in it keeps one side's proof from serving as the other's. */
    byte[] proof(Role role, HelloFrame opener, HelloFrame acceptor) {
        byte[] text = new FieldWriter()
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
            return mac.doFinal(text);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the platform lacks " + ALGORITHM, e);
        }
    }

    boolean matches(byte[] given, byte[] expected) {
        return MessageDigest.isEqual(given, expected);
    }

    /** The side that gives a proof. */
    enum Role {
        /** It opened the connection. */
        OPENER,
        /** It accepted the connection. */
        ACCEPTOR
    }
}
