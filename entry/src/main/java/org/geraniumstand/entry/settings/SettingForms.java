package org.geraniumstand.entry.settings;

import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.geraniumstand.entry.settings.Setting.Form;

/** Defines the formats of values in the settings file. */
final class SettingForms {
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

    static final Form NAME_FORM = new Form(
            "1 to 63 lower-case letters, digits and hyphens",
            false,
            text -> NAME.matcher(text).matches());
    static final Form IP_FORM = new Form("an IPv4 number, no host name", false, SettingForms::ip);
    static final Form PORT_FORM =
            new Form("1 to 65535, or 0 for any free port", false, text -> inRange(text, 0, MAX_PORT));
    static final Form URL_FORM = new Form("http://IP:port, no host name", false, SettingForms::url);
    static final Form ADDRESSES_FORM = new Form("a list of IP:port, no host names", true, SettingForms::address);
    static final Form ADDRESS_FORM = new Form("IP:port, no host name", false, SettingForms::address);
    static final Form FILE_FORM = new Form("path of a file", false, text -> !text.isBlank());
    static final Form PREFIX_FORM = new Form(
            "letters, digits, hyphens and underscores, with slashes between",
            false,
            text -> PREFIX.matcher(text).matches());
    static final Form SECRET_FORM =
            new Form("at least " + MIN_SECRET_LENGTH + " characters without blanks", false, SettingForms::secret);

    static final Form DECIMAL_FORM = new Form(
            "a number, zero or above", false, text -> DECIMAL.matcher(text).matches());

    private SettingForms() {}

    /** Returns the format of an integer between two inclusive bounds. */
    static Form between(int least, int most) {
        return new Form(least + " to " + most, false, text -> inRange(text, least, most));
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

    private static boolean inRange(String text, int least, int most) {
        Predicate<Integer> within = value -> value >= least && value <= most;
        return NUMBER.matcher(text).matches() && within.test(Integer.parseInt(text));
    }
}
