package org.geraniumstand.entry;

import java.nio.file.Path;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Logs whether a settings file that was changed while the process runs is valid; it comes into force with the next start. */
final class SettingsChange {
    private static final Log LOG = Log.of(SettingsChange.class);

    private SettingsChange() {}

    /**
     * Reads the file again.
     *
     * @param inForce the settings that the process started with
     * @param file the settings file
     */
    static void note(RelaySettings inForce, Path file) {
        RelaySettingsFile.read(file)
                .fold(
                        next -> {
                            LOG.info("settings-read-again", Field.of("changed", !next.equals(inForce)));
                            return true;
                        },
                        error -> {
                            LOG.warn("settings-not-valid", Field.of("reason", error.text()));
                            return false;
                        });
    }
}
