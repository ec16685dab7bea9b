package org.geraniumstand.entry.metrics;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class OperatingPageTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATING.md");
    private static final Path SOURCES = Path.of("src", "main", "java");
    private static final Pattern NAME = Pattern.compile("\"(geraniumstand_[a-z_]+[a-z])[\"{]");

    @Test
    void pageNamesEachMetric() throws IOException {
        String page = Files.readString(PAGE);
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                NAME.matcher(Files.readString(file))
                        .results()
                        .map(MatchResult::group)
                        .map(name -> name.replaceAll("[\"{]", ""))
                        .forEach(name -> assertThat(page, containsString(name)));
            }
        }
    }
}
