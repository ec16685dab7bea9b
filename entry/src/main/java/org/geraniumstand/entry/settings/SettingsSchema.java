package org.geraniumstand.entry.settings;

import java.util.List;

/** All entries of the settings file; {@code docs/SETTINGS.md} lists them too. */
final class SettingsSchema {
    static final String OPERATOR_TOKEN = "operators.token";
    static final String OPERATOR_TOKEN_FILE = "operators.tokenFile";
    static final String SHARED_KEY = "peers.sharedKey";
    static final String SHARED_KEY_FILE = "peers.sharedKeyFile";

    static final List<Setting> ALL = List.of(
            Setting.required("process.name", SettingForms.NAME_FORM, "Name of the host; each start adds to it"),
            Setting.required("process.dataCentre", SettingForms.NAME_FORM, "Data centre of the host"),
            Setting.required("callers.host", SettingForms.IP_FORM, "IP number of the listener for callers"),
            Setting.required("callers.port", SettingForms.PORT_FORM, "Port of the listener for callers"),
            Setting.optional("callers.ioThreads", SettingForms.between(1, 64), "2", "Threads that serve callers"),
            Setting.required("operators.host", SettingForms.IP_FORM, "IP number of the listener for operators"),
            Setting.required("operators.port", SettingForms.PORT_FORM, "Port of the listener for operators"),
            Setting.optional(OPERATOR_TOKEN, SettingForms.SECRET_FORM, "", "Bearer token that operators must show"),
            Setting.optional(OPERATOR_TOKEN_FILE, SettingForms.FILE_FORM, "", "File that holds the token instead"),
            Setting.required("peers.host", SettingForms.IP_FORM, "IP number of the listener for entry processes"),
            Setting.required("peers.port", SettingForms.PORT_FORM, "Port of the listener for entry processes"),
            Setting.optional(SHARED_KEY, SettingForms.SECRET_FORM, "", "Key that all entry processes share"),
            Setting.optional(SHARED_KEY_FILE, SettingForms.FILE_FORM, "", "File that holds the key instead"),
            Setting.optional(
                    "peers.seeds",
                    SettingForms.ADDRESSES_FORM,
                    "",
                    "Entry processes to ask for peers and configuration while the store is out"),
            Setting.required("store.url", SettingForms.URL_FORM, "Where the platform's store listens"),
            Setting.optional("store.prefix", SettingForms.PREFIX_FORM, "geraniumstand", "Prefix of all keys there"),
            Setting.required("cloud.url", SettingForms.URL_FORM, "Where host list and cloud API listen"));

    private SettingsSchema() {}
}
