package org.geraniumstand.entry.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RelaySettingsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "SETTINGS-relay.md");

    @Test
    void pageGivesAllowedValuesAndDefaultOfEachEntry() throws IOException {
        List<String> rows = rows();
        for (Setting setting : RelaySettingsFile.SCHEMA) {
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

    @Test
    void pageNamesNoOtherEntry() throws IOException {
        assertThat(rows().size(), is(RelaySettingsFile.SCHEMA.size()));
    }

    private static List<String> rows() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
    }
}
