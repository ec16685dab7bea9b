package org.geraniumstand.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.geraniumstand.model.result.Result;

/** Reads settings from YAML. */
public final class SettingsFile {
    private static final YAMLMapper MAPPER = YAMLMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings, or what is wrong and where
     */
    public static Result<Settings, String> read(Path file) {
        try {
            return Result.ok(MAPPER.readValue(Files.readString(file), Settings.class));
        } catch (JsonProcessingException e) {
            return Result.err(file + ": " + e.getOriginalMessage());
        } catch (IOException _e) {
            return Result.err(file + ": the file cannot be read");
        }
    }
}
