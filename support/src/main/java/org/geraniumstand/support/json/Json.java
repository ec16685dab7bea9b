package org.geraniumstand.support.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.stream.Collectors;
import org.geraniumstand.model.result.Result;

/** Provides the JSON mappers that all adapters share. */
public final class Json {
    private static final String NULL_FOR_PRIMITIVE = "Cannot map `null` into type";

    /** Maps records to JSON and back; rejects unknown properties. */
    public static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    /** Maps JSON of external systems; ignores unknown properties. */
    public static final JsonMapper LENIENT = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private Json() {}

    /**
     * Serializes a value to JSON.
     *
     * @param value a record of the model
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("failed to serialize the value to JSON", e);
        }
    }

    /**
     * Parses a value from JSON.
     *
     * @param text the JSON text
     * @param type class of the value
     * @param <T> type of the value
     */
    public static <T> Result<T, String> read(String text, Class<T> type) {
        try {
            T value = MAPPER.readValue(text, type);
            return value == null ? Result.err("the document is empty") : Result.ok(value);
        } catch (JsonProcessingException e) {
            return Result.err(describe(e));
        }
    }

    /**
     * Describes a parse error and the path of the affected entry, without quoting values from the text.
     *
     * @param e the parse error
     */
    public static String describe(JsonProcessingException e) {
        String message = e.getOriginalMessage();
        if (!(e instanceof JsonMappingException mapping) || mapping.getPath().isEmpty()) {
            return message;
        }
        String path = mapping.getPath().stream()
                .map(step -> step.getFieldName() == null ? "[" + step.getIndex() + "]" : "." + step.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
        return path + ": " + (message.startsWith(NULL_FOR_PRIMITIVE) ? "is missing" : message);
    }
}
