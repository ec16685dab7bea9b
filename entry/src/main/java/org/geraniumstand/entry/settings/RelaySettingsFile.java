package org.geraniumstand.entry.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.result.Result;

/** Reads the settings of a process that relays calls as they are. */
public final class RelaySettingsFile {
    /** Least time in which news of a server can reach all processes, in milliseconds; some round trips to the store. */
    private static final int LEAST_DRAIN_MILLIS = 100;

    private static final int MOST_MILLIS = 60_000;

    /** All entries; {@code docs/SETTINGS.md} lists them too. */
    static final List<Setting> SCHEMA = List.of(
            Setting.required("process.name", SettingForms.NAME_FORM, "Name of the host"),
            Setting.required("process.dataCentre", SettingForms.NAME_FORM, "Data centre of the host"),
            Setting.required("listen.callers", SettingForms.ADDRESS_FORM, "Listener for callers"),
            Setting.required("listen.readiness", SettingForms.ADDRESS_FORM, "Listener for the balancer's check"),
            Setting.required("listen.peers", SettingForms.ADDRESS_FORM, "Listener for other entry processes"),
            Setting.required("listen.metrics", SettingForms.ADDRESS_FORM, "Listener for metrics"),
            Setting.required("peers.sharedKey", SettingForms.SECRET_FORM, "Key that all entry processes share"),
            Setting.optional("peers.seeds", SettingForms.ADDRESSES_FORM, "", "Entry processes to try first"),
            Setting.required("store.url", SettingForms.URL_FORM, "Where the platform's store listens"),
            Setting.required("cloud.url", SettingForms.URL_FORM, "Where the cloud API listens"),
            Setting.required("bounds.stopSeconds", SettingForms.DECIMAL_FORM, "Time to stop in, in seconds"),
            Setting.required("bounds.repeatRatio", SettingForms.DECIMAL_FORM, "Repeats allowed for each request"),
            Setting.required("bounds.repeatSlack", SettingForms.DECIMAL_FORM, "Repeats allowed beside that"),
            Setting.required("bounds.repeatWindowSeconds", SettingForms.DECIMAL_FORM, "Window of repeats, in seconds"),
            Setting.required("bounds.quotaSlack", SettingForms.DECIMAL_FORM, "Units by which a quota may be exceeded"),
            Setting.required("bounds.quotaOverrun", SettingForms.DECIMAL_FORM, "Part by which a quota may be exceeded"),
            Setting.required(
                    "bounds.drainMillis",
                    SettingForms.between(LEAST_DRAIN_MILLIS, MOST_MILLIS),
                    "Time for which a server that leaves may still get requests, in milliseconds"),
            Setting.required(
                    "bounds.contactMillis",
                    SettingForms.between(1, MOST_MILLIS),
                    "Time after a disruption from which the other bounds hold again, in milliseconds"),
            Setting.required(
                    "bounds.leaseMillis",
                    SettingForms.between(1, MOST_MILLIS),
                    "Time that a duty's lease holds, in milliseconds"),
            Setting.required("bounds.usageWindowSeconds", SettingForms.DECIMAL_FORM, "Window of usage, in seconds"),
            Setting.required(
                    "bounds.usageLateSeconds", SettingForms.DECIMAL_FORM, "Time to report usage in, in seconds"));

    private RelaySettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or what is wrong and where
     */
    public static Result<RelaySettings, SettingsError> read(Path file) {
        return SettingsDocument.read(file, SCHEMA, List.of()).map(RelaySettingsFile::settings);
    }

    /**
     * Reads settings from a text.
     *
     * @param name names the text in what is reported
     * @param text the text, in YAML
     */
    public static Result<RelaySettings, SettingsError> parse(String name, String text) {
        return SettingsDocument.parse(Path.of(name), text, SCHEMA).map(RelaySettingsFile::settings);
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return InetSocketAddress.createUnresolved(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static RelaySettings settings(SettingValues values) {
        return new RelaySettings(
                values.text("process.name"),
                new DataCentreId(values.text("process.dataCentre")),
                address(values.text("listen.callers")),
                address(values.text("listen.readiness")),
                address(values.text("listen.peers")),
                address(values.text("listen.metrics")),
                values.text("peers.sharedKey"),
                values.list("peers.seeds"),
                URI.create(values.text("store.url")),
                URI.create(values.text("cloud.url")),
                new RelaySettings.Bounds(
                        values.decimal("bounds.stopSeconds"),
                        values.decimal("bounds.repeatRatio"),
                        values.decimal("bounds.repeatSlack"),
                        values.decimal("bounds.repeatWindowSeconds"),
                        values.decimal("bounds.quotaSlack"),
                        values.decimal("bounds.quotaOverrun"),
                        values.number("bounds.drainMillis"),
                        values.number("bounds.contactMillis"),
                        values.number("bounds.leaseMillis"),
                        values.decimal("bounds.usageWindowSeconds"),
                        values.decimal("bounds.usageLateSeconds")));
    }
}
