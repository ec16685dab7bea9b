package org.geraniumstand.entry.settings;

import java.util.List;

/** Defines all entries of the settings file; must match the table in {@code docs/SETTINGS.md}. */
final class SettingsSchema {
    static final String OPERATOR_TOKEN = "operators.token";
    static final String OPERATOR_TOKEN_FILE = "operators.tokenFile";
    static final String SHARED_KEY = "peers.sharedKey";
    static final String SHARED_KEY_FILE = "peers.sharedKeyFile";

    static final List<Setting> ALL = List.of(
            Setting.required("process.name", SettingForms.NAME_FORM, "Name of the host; each start appends an incarnation"),
            Setting.required("process.dataCentre", SettingForms.NAME_FORM, "Data centre of the host"),
            Setting.required("callers.host", SettingForms.IP_FORM, "IP address of the listener for callers"),
            Setting.required("callers.port", SettingForms.PORT_FORM, "Port of the listener for callers"),
            Setting.optional("callers.ioThreads", SettingForms.between(1, 64), "2", "Threads that serve callers"),
            Setting.required("operators.host", SettingForms.IP_FORM, "IP address of the listener for operators"),
            Setting.required("operators.port", SettingForms.PORT_FORM, "Port of the listener for operators"),
            Setting.optional(OPERATOR_TOKEN, SettingForms.SECRET_FORM, "", "Bearer token that operators must present"),
            Setting.optional(OPERATOR_TOKEN_FILE, SettingForms.FILE_FORM, "", "File that contains the token, instead of the entry above"),
            Setting.required("peers.host", SettingForms.IP_FORM, "IP address of the listener for entry processes"),
            Setting.required("peers.port", SettingForms.PORT_FORM, "Port of the listener for entry processes"),
            Setting.optional(SHARED_KEY, SettingForms.SECRET_FORM, "", "Secret key shared by all entry processes"),
            Setting.optional(SHARED_KEY_FILE, SettingForms.FILE_FORM, "", "File that contains the key, instead of the entry above"),
            Setting.optional(
                    "peers.seeds",
                    SettingForms.ADDRESSES_FORM,
                    "",
                    "Entry processes that provide members and configuration while the store is unavailable"),
            Setting.required("store.url", SettingForms.URL_FORM, "URL of the platform's store"),
            Setting.optional("store.prefix", SettingForms.PREFIX_FORM, "geraniumstand", "Prefix of all keys in the store"),
            Setting.required("cloud.url", SettingForms.URL_FORM, "URL of the host list and the cloud API"));

    private SettingsSchema() {}
}
