package org.geraniumstand.entry.settings;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.geraniumstand.entry.settings.SettingsDocument.SecretEntry;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.result.Result;

/** Reads the settings of an entry process from YAML. */
public final class SettingsFile {
    private static final List<SecretEntry> SECRETS = List.of(
            new SecretEntry(SettingsSchema.OPERATOR_TOKEN, SettingsSchema.OPERATOR_TOKEN_FILE),
            new SecretEntry(SettingsSchema.SHARED_KEY, SettingsSchema.SHARED_KEY_FILE));

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file path of the settings file
     * @return the settings, or the errors with their locations
     */
    public static Result<Settings, SettingsError> read(Path file) {
        return SettingsDocument.read(file, SettingsSchema.ALL, SECRETS).map(SettingsFile::settings);
    }

    private static Settings settings(SettingValues values) {
        return new Settings(
                new Settings.ProcessSettings(
                        values.text("process.name"), new DataCentreId(values.text("process.dataCentre"))),
                new Settings.CallerSettings(
                        values.text("callers.host"), values.number("callers.port"), values.number("callers.ioThreads")),
                new Settings.OperatorSettings(
                        values.text("operators.host"),
                        values.number("operators.port"),
                        values.text(SettingsSchema.OPERATOR_TOKEN)),
                new Settings.PeerSettings(
                        values.text("peers.host"),
                        values.number("peers.port"),
                        values.text(SettingsSchema.SHARED_KEY),
                        values.list("peers.seeds")),
                new Settings.StoreSettings(URI.create(values.text("store.url")), values.text("store.prefix")),
                new Settings.CloudSettings(URI.create(values.text("cloud.url"))));
    }
}
