package org.geraniumstand.operator.command;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ClientError;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.json.RecordValidator;
import org.geraniumstand.support.json.RecordValidator.Mismatch;

/** Reads and writes configurations as YAML with the field names of the JSON document. */
public final class ConfigurationFile {
    private static final YAMLMapper MAPPER = YAMLMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
            .build();

    private ConfigurationFile() {}

    /**
     * Reads a configuration from a YAML file.
     *
     * @param file path of the file
     * @return the configuration, or an error that names the invalid entries with their lines
     */
    public static Result<Configuration, ClientError> read(String file) {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException _e) {
            return invalidFile(file + ": the file cannot be read");
        }
        try {
            List<Mismatch> mismatches = mismatches(text);
            if (!mismatches.isEmpty()) {
                return invalidFile(format(file, mismatches));
            }
            Configuration document = MAPPER.readValue(text, Configuration.class);
            return document == null ? invalidFile(file + ": the file is empty") : Result.ok(document);
        } catch (JsonProcessingException e) {
            return invalidFile(file + lineSuffix(e) + ": " + Json.describe(e));
        } catch (IOException _e) {
            return invalidFile(file + ": the file is not YAML");
        }
    }

    /**
     * Formats a configuration as YAML.
     *
     * @param document the configuration
     */
    public static String write(Configuration document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the configuration cannot be written as YAML", e);
        }
    }

    private static List<Mismatch> mismatches(String text) throws IOException {
        try (JsonParser parser = MAPPER.createParser(text)) {
            return RecordValidator.findMismatches(parser, Configuration.class);
        }
    }

    private static String format(String file, List<Mismatch> mismatches) {
        return mismatches.stream()
                .map(m -> file + ":" + m.line() + ": " + m.path() + ": " + m.message())
                .collect(Collectors.joining("\n"));
    }

    private static String lineSuffix(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        return location == null ? "" : ":" + location.getLineNr();
    }

    private static <T> Result<T, ClientError> invalidFile(String message) {
        return Result.err(ClientError.of(ExitCode.USAGE, message));
    }
}
