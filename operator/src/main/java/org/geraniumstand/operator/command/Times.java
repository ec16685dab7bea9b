package org.geraniumstand.operator.command;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads times as operators write them. */
final class Times {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})([smhd])");

    private Times() {}

    /** Returns the time that a duration from now or an instant names, or nothing if it is neither. */
    static Optional<Instant> future(String text, Instant now) {
        return duration(text).map(now::plus).or(() -> instant(text));
    }

    /** Returns the time that a duration before now or an instant names, or nothing if it is neither. */
    static Optional<Instant> past(String text, Instant now) {
        return duration(text).map(now::minus).or(() -> instant(text));
    }

    private static Optional<Duration> duration(String text) {
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

    private static Optional<Instant> instant(String text) {
        try {
            return Optional.of(Instant.parse(text));
        } catch (DateTimeException _e) {
            return Optional.empty();
        }
    }
}
