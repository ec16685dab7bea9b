package org.geraniumstand.entry.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Compares a documentation page of settings with the schema. */
final class PageChecks {
    private final List<String> rows;
    private final List<Setting> schema;

    private PageChecks(List<String> rows, List<Setting> schema) {
        this.rows = rows;
        this.schema = schema;
    }

    static PageChecks of(String page, List<Setting> schema) throws IOException {
        List<String> rows = Files.readAllLines(Path.of("..", "docs", page)).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
        return new PageChecks(rows, schema);
    }

    void givesAllowedValuesAndDefaultOfEachEntry() {
        for (Setting setting : schema) {
            String row = rows.stream()
                    .filter(line -> line.startsWith("| `" + setting.path() + "` |"))
                    .findFirst()
                    .orElseGet(() -> "no row for " + setting.path());
            assertThat(row, containsString("| " + setting.form().allowed() + " |"));
            if (setting.absent().isEmpty()) {
                assertThat(row, containsString("| must be written |"));
            } else if (!setting.absent().get().isEmpty()) {
                assertThat(row, containsString("| `" + setting.absent().get() + "` |"));
            }
        }
    }

    void namesNoOtherEntry() {
        assertThat(rows.size(), is(schema.size()));
    }
}
