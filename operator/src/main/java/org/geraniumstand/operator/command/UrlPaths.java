package org.geraniumstand.operator.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Builds URL paths of the operators' interface. */
final class UrlPaths {
    private UrlPaths() {}

    /** Percent-encodes a name for use as one path segment. */
    static String encodeSegment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
