package org.geraniumstand.entry.settings;

import java.io.IOException;
import org.junit.jupiter.api.Test;

final class SettingsPageTest {
    @Test
    void pageGivesAllowedValuesAndDefaultOfEachEntry() throws IOException {
        PageChecks.of("SETTINGS.md", SettingsSchema.ALL).givesAllowedValuesAndDefaultOfEachEntry();
    }

    @Test
    void pageNamesNoOtherEntry() throws IOException {
        PageChecks.of("SETTINGS.md", SettingsSchema.ALL).namesNoOtherEntry();
    }
}
