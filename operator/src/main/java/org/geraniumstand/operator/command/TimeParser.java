package org.geraniumstand.operator.command;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the times in command line options. */
final class TimeParser {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})([smhd])");

    private TimeParser() {}

    /** Parses a duration after now or an ISO 8601 instant; returns empty if the text is neither. */
    static Optional<Instant> parseFuture(String text, Instant now) {
        return parseDuration(text).map(now::plus).or(() -> parseInstant(text));
    }

    /** Parses a duration before now or an ISO 8601 instant; returns empty if the text is neither. */
    static Optional<Instant> parsePast(String text, Instant now) {
        return parseDuration(text).map(now::minus).or(() -> parseInstant(text));
    }

    private static Optional<Duration> parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long count = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "s" -> Duration.ofSeconds(count);
                    case "m" -> Duration.ofMinutes(count);
                    case "h" -> Duration.ofHours(count);
                    default -> Duration.ofDays(count);
                });
    }

    private static Optional<Instant> parseInstant(String text) {
        try {
            return Optional.of(Instant.parse(text));
        } catch (DateTimeException _e) {
            return Optional.empty();
        }
    }
}
