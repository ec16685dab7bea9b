package org.geraniumstand.entry.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/** Compares bearer tokens in a time that does not depend on where they differ. */
public final class BearerToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] expected;

    /**
     * Creates a comparison.
     *
     * @param expected the token that must be shown
     */
    public BearerToken(String expected) {
        this.expected = expected.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns whether a header shows the token.
     *
     * @param authorization value of the {@code Authorization} header, if any
     */
    public boolean shownIn(Optional<String> authorization) {
        return authorization
                .filter(value -> value.startsWith(SCHEME))
                .map(value -> value.substring(SCHEME.length()).getBytes(StandardCharsets.UTF_8))
                .map(shown -> MessageDigest.isEqual(expected, shown))
                .orElse(false);
    }
}
