package org.geraniumstand.entry.settings;

import java.io.IOException;
import org.junit.jupiter.api.Test;

final class RelaySettingsPageTest {
    @Test
    void pageListsAllowedValuesAndDefaultOfEachEntry() throws IOException {
        SettingsPageChecker.of("SETTINGS-relay.md", RelaySettingsFile.SCHEMA)
                .assertEachEntryHasAllowedValuesAndDefault();
    }

    @Test
    void pageListsNoOtherEntries() throws IOException {
        SettingsPageChecker.of("SETTINGS-relay.md", RelaySettingsFile.SCHEMA).assertNoOtherEntries();
    }
}
