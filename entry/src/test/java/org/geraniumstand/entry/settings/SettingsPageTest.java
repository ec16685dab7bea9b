package org.geraniumstand.entry.settings;

import java.io.IOException;
import org.junit.jupiter.api.Test;

final class SettingsPageTest {
    @Test
    void pageListsAllowedValuesAndDefaultOfEachEntry() throws IOException {
        SettingsPageChecker.of("SETTINGS.md", SettingsSchema.ALL).assertEachEntryHasAllowedValuesAndDefault();
    }

    @Test
    void pageListsNoOtherEntries() throws IOException {
        SettingsPageChecker.of("SETTINGS.md", SettingsSchema.ALL).assertNoOtherEntries();
    }
}
