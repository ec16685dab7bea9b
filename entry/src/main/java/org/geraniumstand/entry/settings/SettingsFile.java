package org.geraniumstand.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.result.Result;

/** Reads settings from YAML and reports everything that is wrong with them at once. */
public final class SettingsFile {
    private final Path file;
    private final List<String> problems = new ArrayList<>();
    private final Map<String, List<String>> values = new HashMap<>();

    private SettingsFile(Path file) {
        this.file = file;
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or what is wrong and where
     */
    public static Result<Settings, SettingsError> read(Path file) {
        return new SettingsFile(file).read();
    }

    private Result<Settings, SettingsError> read() {
        try {
            take(SettingsTree.parse(Files.readString(file)));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            problems.add(file + ":" + line + ": this is not YAML");
        } catch (IOException _e) {
            problems.add(file + ": the file cannot be read");
        }
        if (problems.isEmpty()) {
            readSecret(SettingsSchema.OPERATOR_TOKEN, SettingsSchema.OPERATOR_TOKEN_FILE);
            readSecret(SettingsSchema.SHARED_KEY, SettingsSchema.SHARED_KEY_FILE);
        }
        return problems.isEmpty() ? Result.ok(settings()) : Result.err(new SettingsError(problems));
    }

    private void take(SettingsTree tree) {
        tree.duplicates().forEach(path -> problems.add(place(tree, path) + "the entry stands twice"));
        tree.entries().forEach((path, entry) -> {
            Optional<Setting> setting = SettingsSchema.find(path);
            if (setting.isEmpty()) {
                problems.add(place(tree, path) + "there is no such entry; allowed here: " + siblings(path));
            } else {
                check(place(tree, path), setting.get(), entry);
                values.put(path, entry.values());
            }
        });
        for (Setting setting : SettingsSchema.ALL) {
            if (!values.containsKey(setting.path())) {
                fillIn(setting);
            }
        }
    }

    private void check(String place, Setting setting, SettingsTree.Entry entry) {
        boolean form = entry.list() == setting.form().list();
        if (!form || !entry.values().stream().allMatch(setting.form().accepts())) {
            problems.add(place + "the value is not allowed; allowed: "
                    + setting.form().allowed());
        }
    }

    private void fillIn(Setting setting) {
        if (setting.absent().isEmpty()) {
            problems.add(file + ": " + setting.path() + " is missing; allowed: "
                    + setting.form().allowed());
        } else {
            String absent = setting.absent().get();
            values.put(setting.path(), absent.isEmpty() ? List.of() : List.of(absent));
        }
    }

    private void readSecret(String path, String filePath) {
        boolean direct = !values.get(path).isEmpty();
        boolean fromFile = !values.get(filePath).isEmpty();
        if (direct == fromFile) {
            problems.add(file + ": exactly one of " + path + " and " + filePath + " must be there");
        } else if (fromFile) {
            readSecretFile(path, filePath);
        }
    }

    private void readSecretFile(String path, String filePath) {
        try {
            String secret = Files.readString(Path.of(text(filePath))).trim();
            if (!SettingForms.secret(secret)) {
                problems.add(file + ": the file of " + filePath + " must hold " + SettingForms.SECRET_FORM.allowed());
            }
            values.put(path, List.of(secret));
        } catch (IOException _e) {
            problems.add(file + ": the file of " + filePath + " cannot be read");
        }
    }

    private Settings settings() {
        return new Settings(
                new Settings.ProcessSettings(text("process.name"), new DataCentreId(text("process.dataCentre"))),
                new Settings.CallerSettings(text("callers.host"), number("callers.port"), number("callers.ioThreads")),
                new Settings.OperatorSettings(
                        text("operators.host"), number("operators.port"), text(SettingsSchema.OPERATOR_TOKEN)),
                new Settings.PeerSettings(
                        text("peers.host"),
                        number("peers.port"),
                        text(SettingsSchema.SHARED_KEY),
                        values.get("peers.seeds")),
                new Settings.StoreSettings(URI.create(text("store.url")), text("store.prefix")),
                new Settings.CloudSettings(URI.create(text("cloud.url"))));
    }

    private String text(String path) {
        return values.get(path).get(0);
    }

    private int number(String path) {
        return Integer.parseInt(text(path));
    }

    private String place(SettingsTree tree, String path) {
        return file + ":" + tree.entries().get(path).line() + ": " + path + ": ";
    }

    private static String siblings(String path) {
        String section = path.substring(0, path.lastIndexOf('.') + 1);
        boolean known = SettingsSchema.ALL.stream().anyMatch(s -> s.path().startsWith(section));
        return SettingsSchema.ALL.stream()
                .map(Setting::path)
                .filter(other -> !known || other.startsWith(section))
                .collect(Collectors.joining(", "));
    }
}
