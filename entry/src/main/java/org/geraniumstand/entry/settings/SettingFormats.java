package org.geraniumstand.entry.settings;

import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.geraniumstand.entry.settings.Setting.Format;

/** Defines the formats of values in the settings file. */
final class SettingFormats {
    /** Minimum number of characters of a token or key. */
    static final int MIN_SECRET_LENGTH = 16;

    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,20})?");
    private static final Pattern IP = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern PREFIX = Pattern.compile("[a-zA-Z0-9_-]+(/[a-zA-Z0-9_-]+)*");
    private static final String HTTP = "http://";

    static final Format NAME_FORMAT = new Format(
            "1 to 63 lower-case letters, digits and hyphens",
            false,
            text -> NAME.matcher(text).matches());
    static final Format IP_FORMAT = new Format("an IPv4 number, no host name", false, SettingFormats::ip);
    static final Format PORT_FORMAT =
            new Format("1 to 65535, or 0 for any free port", false, text -> inRange(text, 0, MAX_PORT));
    static final Format URL_FORMAT = new Format("http://IP:port, no host name", false, SettingFormats::url);
    static final Format ADDRESSES_FORMAT =
            new Format("a list of IP:port, no host names", true, SettingFormats::address);
    static final Format ADDRESS_FORMAT = new Format("IP:port, no host name", false, SettingFormats::address);
    static final Format FILE_FORMAT = new Format("path of a file", false, text -> !text.isBlank());
    static final Format PREFIX_FORMAT = new Format(
            "letters, digits, hyphens and underscores, with slashes between",
            false,
            text -> PREFIX.matcher(text).matches());
    static final Format SECRET_FORMAT =
            new Format("at least " + MIN_SECRET_LENGTH + " characters without blanks", false, SettingFormats::secret);

    static final Format DECIMAL_FORMAT = new Format(
            "a number, zero or above", false, text -> DECIMAL.matcher(text).matches());

    private SettingFormats() {}

    /** Returns the format of an integer between two inclusive bounds. */
    static Format between(int min, int max) {
        return new Format(min + " to " + max, false, text -> inRange(text, min, max));
    }

    static boolean secret(String text) {
        return text.length() >= MIN_SECRET_LENGTH && text.chars().noneMatch(Character::isWhitespace);
    }

    private static boolean ip(String text) {
        return IP.matcher(text).matches()
                && Stream.of(text.split("\\.")).allMatch(octet -> inRange(octet, 0, MAX_OCTET));
    }

    private static boolean address(String text) {
        int colon = text.lastIndexOf(':');
        return colon > 0 && ip(text.substring(0, colon)) && inRange(text.substring(colon + 1), 1, MAX_PORT);
    }

    private static boolean url(String text) {
        return text.startsWith(HTTP) && address(text.substring(HTTP.length()));
    }

    private static boolean inRange(String text, int min, int max) {
        Predicate<Integer> inBounds = value -> value >= min && value <= max;
        return NUMBER.matcher(text).matches() && inBounds.test(Integer.parseInt(text));
    }
}
