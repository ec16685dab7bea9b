package org.geraniumstand.entry.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Compares a documentation page of settings with the schema. */
final class SettingsPageChecker {
    private final List<String> rows;
    private final List<Setting> schema;

    private SettingsPageChecker(List<String> rows, List<Setting> schema) {
        this.rows = rows;
        this.schema = schema;
    }

    static SettingsPageChecker of(String page, List<Setting> schema) throws IOException {
        List<String> rows = Files.readAllLines(Path.of("..", "docs", page)).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
        return new SettingsPageChecker(rows, schema);
    }

    void assertEachEntryHasAllowedValuesAndDefault() {
        for (Setting setting : schema) {
            String row = rows.stream()
                    .filter(line -> line.startsWith("| `" + setting.path() + "` |"))
                    .findFirst()
                    .orElseGet(() -> "no row for " + setting.path());
            assertThat(row, containsString("| " + setting.format().allowed() + " |"));
            if (setting.defaultValue().isEmpty()) {
                assertThat(row, containsString("| must be written |"));
            } else if (!setting.defaultValue().get().isEmpty()) {
                assertThat(row, containsString("| `" + setting.defaultValue().get() + "` |"));
            }
        }
    }

    void assertNoOtherEntries() {
        assertThat(rows.size(), is(schema.size()));
    }
}
