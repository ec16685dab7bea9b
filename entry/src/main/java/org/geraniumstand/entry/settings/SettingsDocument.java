package org.geraniumstand.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumstand.model.result.Result;

/** Reads and validates the entries of a YAML settings file and reports all errors together. */
final class SettingsDocument {
    private final Path file;
    private final List<Setting> schema;
    private final List<String> problems = new ArrayList<>();
    private final Map<String, List<String>> values = new HashMap<>();

    private SettingsDocument(Path file, List<Setting> schema) {
        this.file = file;
        this.schema = schema;
    }

    /** Reads a file; secrets may be stored in separate files. */
    static Result<SettingValues, SettingsError> read(Path file, List<Setting> schema, List<SecretEntry> secrets) {
        return new SettingsDocument(file, schema).read(secrets);
    }

    /** Parses a text; the file name is used in error messages only. */
    static Result<SettingValues, SettingsError> parse(Path file, String text, List<Setting> schema) {
        SettingsDocument document = new SettingsDocument(file, schema);
        document.parse(text);
        return document.toResult();
    }

    private Result<SettingValues, SettingsError> read(List<SecretEntry> secrets) {
        try {
            parse(Files.readString(file));
        } catch (IOException _e) {
            problems.add(file + ": the file cannot be read");
        }
        if (problems.isEmpty()) {
            secrets.forEach(secret -> readSecret(secret.path(), secret.filePath()));
        }
        return toResult();
    }

    private void parse(String text) {
        try {
            addEntries(SettingsTree.parse(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            problems.add(file + ":" + line + ": this is not YAML");
        } catch (IOException e) {
            // Reading a string does not throw IOException, but the parser's signature declares it.
            throw new UncheckedIOException(e);
        }
    }

    private Result<SettingValues, SettingsError> toResult() {
        return problems.isEmpty() ? Result.ok(new SettingValues(values)) : Result.err(new SettingsError(problems));
    }

    private void addEntries(SettingsTree tree) {
        tree.duplicates().forEach(path -> problems.add(location(tree, path) + "the entry is duplicated"));
        tree.entries().forEach((path, entry) -> {
            Optional<Setting> setting = find(path);
            if (setting.isEmpty()) {
                problems.add(location(tree, path) + "unknown entry; allowed entries: " + siblings(path));
            } else {
                check(location(tree, path), setting.get(), entry);
                values.put(path, entry.values());
            }
        });
        for (Setting setting : schema) {
            if (!values.containsKey(setting.path())) {
                applyDefault(setting);
            }
        }
    }

    private void check(String location, Setting setting, SettingsTree.Entry entry) {
        boolean formatMatches = entry.list() == setting.format().list();
        if (!formatMatches || !entry.values().stream().allMatch(setting.format().accepts())) {
            problems.add(location + "the value is not allowed; allowed: "
                    + setting.format().allowed());
        }
    }

    private void applyDefault(Setting setting) {
        if (setting.defaultValue().isEmpty()) {
            problems.add(file + ": " + setting.path() + " is missing; allowed: "
                    + setting.format().allowed());
        } else {
            String defaultValue = setting.defaultValue().get();
            values.put(setting.path(), defaultValue.isEmpty() ? List.of() : List.of(defaultValue));
        }
    }

    private void readSecret(String path, String filePath) {
        boolean direct = !values.get(path).isEmpty();
        boolean fromFile = !values.get(filePath).isEmpty();
        if (direct == fromFile) {
            problems.add(file + ": exactly one of " + path + " and " + filePath + " must be set");
        } else if (fromFile) {
            readSecretFile(path, filePath);
        }
    }

    private void readSecretFile(String path, String filePath) {
        try {
            String secret = Files.readString(Path.of(text(filePath))).trim();
            if (!SettingFormats.secret(secret)) {
                problems.add(
                        file + ": the file of " + filePath + " must hold " + SettingFormats.SECRET_FORMAT.allowed());
            }
            values.put(path, List.of(secret));
        } catch (IOException _e) {
            problems.add(file + ": the file of " + filePath + " cannot be read");
        }
    }

    private Optional<Setting> find(String path) {
        return schema.stream().filter(setting -> setting.path().equals(path)).findFirst();
    }

    private String text(String path) {
        return values.get(path).get(0);
    }

    private String location(SettingsTree tree, String path) {
        return file + ":" + tree.entries().get(path).line() + ": " + path + ": ";
    }

    private String siblings(String path) {
        String section = path.substring(0, path.lastIndexOf('.') + 1);
        boolean sectionExists = schema.stream().anyMatch(s -> s.path().startsWith(section));
        return schema.stream()
                .map(Setting::path)
                .filter(other -> !sectionExists || other.startsWith(section))
                .collect(Collectors.joining(", "));
    }

    /**
     * A secret that is given in the settings or in a separate file.
     *
     * @param path path of the entry that contains the secret
     * @param filePath path of the entry that names the secret's file
     */
    record SecretEntry(String path, String filePath) {}
}
