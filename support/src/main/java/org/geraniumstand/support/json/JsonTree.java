package org.geraniumstand.support.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/**
 * Parses and serializes JSON documents as trees.
 *
 * <p>Uses Jackson's streaming API only. Initializing {@link Json#MAPPER} loads some 500 classes, which delays callers
 * when a process starts under load on a small host.
 */
public final class JsonTree {
    /** Deepest nesting of a document; parsing recurses, and threads have small stacks. */
    private static final int MAX_DEPTH = 64;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * Parses the first document of a text.
     *
     * @param text the JSON text
     * @return the document; a missing node if the text is empty
     * @throws IOException if the text is not valid JSON or its nesting exceeds the library's limit
     */
    public static JsonNode read(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            return first == null ? MissingNode.getInstance() : value(parser, first);
        }
    }

    private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            node.set(name, value(parser, parser.nextToken()));
        }
        return node;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        ArrayNode node = NODES.arrayNode();
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            node.add(value(parser, token));
            token = parser.nextToken();
        }
        return node;
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    /**
     * Serializes a document.
     *
     * @param node the document
     */
    public static String write(JsonNode node) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(node, generator);
        } catch (IOException e) {
            // Cannot happen, because the writer is in memory.
            throw new UncheckedIOException("failed to serialize a JSON document", e);
        }
        return text.toString();
    }

    private static void write(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject();
                for (Map.Entry<String, JsonNode> field : node.properties()) {
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray();
                for (JsonNode element : node) {
                    write(element, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case NUMBER -> generator.writeNumber(node.asText());
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            default -> generator.writeNull();
        }
    }
}
