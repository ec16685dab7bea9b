package org.geraniumstand.entry;

import java.nio.file.Path;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Validates a settings file that changed while the process runs; the changes take effect at the next start. */
final class ChangedSettingsCheck {
    private static final Log LOG = Log.of(ChangedSettingsCheck.class);

    private ChangedSettingsCheck() {}

    /**
     * Reads the file again and logs whether it is valid and differs from the settings in force.
     *
     * @param inForce settings that the process started with
     * @param file path of the settings file
     */
    static void check(RelaySettings inForce, Path file) {
        RelaySettingsFile.read(file)
                .fold(
                        changed -> {
                            LOG.info("settings-read-again", Field.of("changed", !changed.equals(inForce)));
                            return true;
                        },
                        error -> {
                            LOG.warn("settings-not-valid", Field.of("reason", error.text()));
                            return false;
                        });
    }
}
