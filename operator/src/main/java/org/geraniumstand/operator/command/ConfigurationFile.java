package org.geraniumstand.operator.command;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ClientError;

/** Reads and writes configurations as YAML, with the names of the JSON document. */
public final class ConfigurationFile {
    private static final YAMLMapper MAPPER = YAMLMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
            .build();

    private ConfigurationFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the document, or what is wrong and where
     */
    public static Result<Configuration, ClientError> read(String file) {
        try {
            return parse(file, Files.readString(Path.of(file)));
        } catch (IOException _e) {
            return wrong(file + ": the file cannot be read");
        }
    }

    /**
     * Reads a text.
     *
     * @param name name of the text for messages
     * @param text the text
     * @return the document, or what is wrong and where
     */
    public static Result<Configuration, ClientError> parse(String name, String text) {
        try {
            Configuration document = MAPPER.readValue(text, Configuration.class);
            return document == null ? wrong(name + ": the file is empty") : Result.ok(document);
        } catch (JsonMappingException e) {
            return wrong(name + line(e) + ": " + path(e) + e.getOriginalMessage());
        } catch (JsonProcessingException e) {
            return wrong(name + line(e) + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Writes a document.
     *
     * @param document the document
     */
    public static String write(Configuration document) {
        try {
            return MAPPER.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the configuration cannot be written as YAML", e);
        }
    }

    private static String line(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        return location == null ? "" : ":" + location.getLineNr();
    }

    private static String path(JsonMappingException e) {
        String path = e.getPath().stream()
                .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : "." + step.getFieldName())
                .collect(Collectors.joining());
        return path.isEmpty() ? "" : path.replaceFirst("^\\.", "") + ": ";
    }

    private static <T> Result<T, ClientError> wrong(String message) {
        return Result.err(ClientError.of(ExitCode.USAGE, message));
    }
}
