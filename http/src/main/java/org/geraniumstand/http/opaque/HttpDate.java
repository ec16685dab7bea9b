package org.geraniumstand.http.opaque;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Formats times for the date header (RFC 9110, section 5.6.7); confined to one thread.
 *
 * <p>The HTTP library's own formatter loads the platform's calendars and locales, which takes a tenth of the start-up
 * time of the process.
 */
final class HttpDate {
    private static final String[] DAYS = {"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"};
    private static final String[] MONTHS = {
        "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"
    };
    private static final int TWO_DIGITS = 10;

    private long cachedSecond = Long.MIN_VALUE;
    private String cachedText = "";

    /** Returns the formatted time, which is cached for the current second. */
    String at(Instant time) {
        if (time.getEpochSecond() != cachedSecond) {
            cachedSecond = time.getEpochSecond();
            cachedText = format(LocalDateTime.ofEpochSecond(cachedSecond, 0, ZoneOffset.UTC));
        }
        return cachedText;
    }

    private static String format(LocalDateTime time) {
        StringBuilder text = new StringBuilder(DAYS[time.getDayOfWeek().getValue() - 1]).append(", ");
        twoDigits(text, time.getDayOfMonth());
        text.append(' ').append(MONTHS[time.getMonthValue() - 1]).append(' ').append(time.getYear());
        twoDigits(text.append(' '), time.getHour());
        twoDigits(text.append(':'), time.getMinute());
        twoDigits(text.append(':'), time.getSecond());
        return text.append(" GMT").toString();
    }

    private static void twoDigits(StringBuilder text, int number) {
        if (number < TWO_DIGITS) {
            text.append('0');
        }
        text.append(number);
    }
}
