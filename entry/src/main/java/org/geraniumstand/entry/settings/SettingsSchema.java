package org.geraniumstand.entry.settings;

import java.util.List;

/** Defines all entries of the settings file; must match the table in {@code docs/SETTINGS.md}. */
final class SettingsSchema {
    static final String OPERATOR_TOKEN = "operators.token";
    static final String OPERATOR_TOKEN_FILE = "operators.tokenFile";
    static final String SHARED_KEY = "peers.sharedKey";
    static final String SHARED_KEY_FILE = "peers.sharedKeyFile";

    static final List<Setting> ALL = List.of(
            Setting.required(
                    "process.name", SettingFormats.NAME_FORMAT, "Name of the host; each start appends an incarnation"),
            Setting.required("process.dataCentre", SettingFormats.NAME_FORMAT, "Data centre of the host"),
            Setting.required("callers.host", SettingFormats.IP_FORMAT, "IP address of the listener for callers"),
            Setting.required("callers.port", SettingFormats.PORT_FORMAT, "Port of the listener for callers"),
            Setting.optional("callers.ioThreads", SettingFormats.between(1, 64), "2", "Threads that serve callers"),
            Setting.required("operators.host", SettingFormats.IP_FORMAT, "IP address of the listener for operators"),
            Setting.required("operators.port", SettingFormats.PORT_FORMAT, "Port of the listener for operators"),
            Setting.optional(
                    OPERATOR_TOKEN, SettingFormats.SECRET_FORMAT, "", "Bearer token that operators must present"),
            Setting.optional(
                    OPERATOR_TOKEN_FILE,
                    SettingFormats.FILE_FORMAT,
                    "",
                    "File that contains the token, instead of the entry above"),
            Setting.required("peers.host", SettingFormats.IP_FORMAT, "IP address of the listener for entry processes"),
            Setting.required("peers.port", SettingFormats.PORT_FORMAT, "Port of the listener for entry processes"),
            Setting.optional(SHARED_KEY, SettingFormats.SECRET_FORMAT, "", "Secret key shared by all entry processes"),
            Setting.optional(
                    SHARED_KEY_FILE,
                    SettingFormats.FILE_FORMAT,
                    "",
                    "File that contains the key, instead of the entry above"),
            Setting.optional(
                    "peers.seeds",
                    SettingFormats.ADDRESSES_FORMAT,
                    "",
                    "Entry processes that provide members and configuration while the store is unavailable"),
            Setting.required("store.url", SettingFormats.URL_FORMAT, "URL of the platform's store"),
            Setting.optional(
                    "store.prefix", SettingFormats.PREFIX_FORMAT, "geraniumstand", "Prefix of all keys in the store"),
            Setting.required("cloud.url", SettingFormats.URL_FORMAT, "URL of the host list and the cloud API"));

    private SettingsSchema() {}
}
