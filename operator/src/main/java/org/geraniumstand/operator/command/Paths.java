package org.geraniumstand.operator.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Builds paths of the operators' interface. */
final class Paths {
    private Paths() {}

    /** Returns a name so that it can stand as one segment of a path. */
    static String segment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
