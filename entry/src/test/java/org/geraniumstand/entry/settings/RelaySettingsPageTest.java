package org.geraniumstand.entry.settings;

import java.io.IOException;
import org.junit.jupiter.api.Test;

final class RelaySettingsPageTest {
    @Test
    void pageGivesAllowedValuesAndDefaultOfEachEntry() throws IOException {
        PageChecks.of("SETTINGS-relay.md", RelaySettingsFile.SCHEMA).givesAllowedValuesAndDefaultOfEachEntry();
    }

    @Test
    void pageNamesNoOtherEntry() throws IOException {
        PageChecks.of("SETTINGS-relay.md", RelaySettingsFile.SCHEMA).namesNoOtherEntry();
    }
}
