package org.geraniumstand.entry.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.result.Result;

/** Reads the settings of a process that relays requests without interpreting their bodies. */
public final class RelaySettingsFile {
    /**
     * Minimum time in milliseconds for a change of a server to reach all processes: several round trips to the store.
     */
    private static final int MIN_DRAIN_MILLIS = 100;

    private static final int MAX_MILLIS = 60_000;

    /** All settings; must match the table in {@code docs/SETTINGS-relay.md}. */
    static final List<Setting> SCHEMA = List.of(
            Setting.required("process.name", SettingFormats.NAME_FORMAT, "Name of the host"),
            Setting.required("process.dataCentre", SettingFormats.NAME_FORMAT, "Data centre of the host"),
            Setting.required("listen.callers", SettingFormats.ADDRESS_FORMAT, "Listener for callers"),
            Setting.required(
                    "listen.readiness",
                    SettingFormats.ADDRESS_FORMAT,
                    "Listener for the load balancer's health checks"),
            Setting.required("listen.peers", SettingFormats.ADDRESS_FORMAT, "Listener for other entry processes"),
            Setting.required("listen.metrics", SettingFormats.ADDRESS_FORMAT, "Listener for metrics"),
            Setting.required(
                    "peers.sharedKey", SettingFormats.SECRET_FORMAT, "Secret key shared by all entry processes"),
            Setting.optional("peers.seeds", SettingFormats.ADDRESSES_FORMAT, "", "Entry processes to connect to first"),
            Setting.required("store.url", SettingFormats.URL_FORMAT, "URL of the platform's store"),
            Setting.required("cloud.url", SettingFormats.URL_FORMAT, "URL of the cloud API"),
            Setting.required(
                    "bounds.stopSeconds", SettingFormats.DECIMAL_FORMAT, "Time allowed for shutdown, in seconds"),
            Setting.required("bounds.repeatRatio", SettingFormats.DECIMAL_FORMAT, "Retries allowed per request"),
            Setting.required(
                    "bounds.repeatSlack", SettingFormats.DECIMAL_FORMAT, "Retries allowed in addition to the ratio"),
            Setting.required(
                    "bounds.repeatWindowSeconds",
                    SettingFormats.DECIMAL_FORMAT,
                    "Window over which retries are counted, in seconds"),
            Setting.required(
                    "bounds.quotaSlack", SettingFormats.DECIMAL_FORMAT, "Units by which a quota may be exceeded"),
            Setting.required(
                    "bounds.quotaOverrun", SettingFormats.DECIMAL_FORMAT, "Fraction by which a quota may be exceeded"),
            Setting.required(
                    "bounds.drainMillis",
                    SettingFormats.between(MIN_DRAIN_MILLIS, MAX_MILLIS),
                    "Time for which a draining server may still receive requests, in milliseconds"),
            Setting.required(
                    "bounds.contactMillis",
                    SettingFormats.between(1, MAX_MILLIS),
                    "Time after a disruption from which the other bounds must hold again, in milliseconds"),
            Setting.required(
                    "bounds.leaseMillis",
                    SettingFormats.between(1, MAX_MILLIS),
                    "Duration of a leadership lease, in milliseconds"),
            Setting.required(
                    "bounds.usageWindowSeconds", SettingFormats.DECIMAL_FORMAT, "Length of a usage window, in seconds"),
            Setting.required(
                    "bounds.usageLateSeconds",
                    SettingFormats.DECIMAL_FORMAT,
                    "Time allowed for reporting the usage of a window, in seconds"));

    private RelaySettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file path of the settings file
     * @return the settings, or the errors with their locations
     */
    public static Result<RelaySettings, SettingsError> read(Path file) {
        return SettingsDocument.read(file, SCHEMA, List.of()).map(RelaySettingsFile::settings);
    }

    /**
     * Parses settings.
     *
     * @param name file name to use in error messages
     * @param text settings in YAML
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
