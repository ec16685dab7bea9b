package org.geraniumstand.entry.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/** Compares bearer tokens in constant time. */
public final class BearerToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] expected;

    /**
     * Creates a comparison.
     *
     * @param expected token that requests must present
     */
    public BearerToken(String expected) {
        this.expected = expected.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns whether an {@code Authorization} header contains the expected token.
     *
     * @param authorization value of the header, if present
     */
    public boolean matches(Optional<String> authorization) {
        return authorization
                .filter(value -> value.startsWith(SCHEME))
                .map(value -> value.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8))
                .map(presented -> MessageDigest.isEqual(expected, presented))
                .orElse(false);
    }
}
