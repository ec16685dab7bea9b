package org.geraniumstand.entry.task;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Lists the tokens of a document's latest changes, which let a writer find its change after the store's response was
 * lost.
 */
final class WriterTokens {
    /** Number of latest changes whose tokens a document contains. */
    static final int CAPACITY = 16;

    private WriterTokens() {}

    static String prepend(String token, String earlier) {
        return Stream.concat(Stream.of(token), list(earlier).stream())
                .limit(CAPACITY)
                .collect(Collectors.joining(" "));
    }

    static boolean contains(String tokens, String token) {
        return list(tokens).contains(token);
    }

    private static List<String> list(String tokens) {
        return Stream.of(tokens.split(" ")).filter(t -> !t.isEmpty()).toList();
    }
}
