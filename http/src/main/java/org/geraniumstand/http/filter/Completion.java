package org.geraniumstand.http.filter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The parsed body of a completion request.
 *
 * @param document the body as JSON
 * @param streaming whether the answer streams
 * @param promptText the texts of all messages, joined
 * @param maxTokens most tokens that the answer may have
 */
public record Completion(ObjectNode document, boolean streaming, String promptText, int maxTokens) {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int BLOCK_CHARACTERS = 64 * CHARACTERS_PER_TOKEN;

    /**
     * Reads a completion request.
     *
     * @param document the body as JSON
     */
    static Optional<Completion> read(JsonNode document) {
        if (!(document instanceof ObjectNode object) || !object.path("messages").isArray()) {
            return Optional.empty();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : object.path("messages")) {
            text.append(message.path("role").asText())
                    .append('\n')
                    .append(message.path("content").asText())
                    .append('\n');
        }
        int maxTokens = object.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
        if (maxTokens <= 0) {
            return Optional.empty();
        }
        boolean streaming = object.path("stream").asBoolean(false);
        return Optional.of(new Completion(object, streaming, text.toString(), maxTokens));
    }

    /** Returns an estimate of the prompt's tokens. */
    public int promptTokens() {
        return promptText.length() / CHARACTERS_PER_TOKEN;
    }

    /** Returns hashes of the prompt's prefix blocks, the shortest prefix first. */
    public List<Long> prefixBlocks() {
        List<Long> blocks = new ArrayList<>();
        CRC32C hash = new CRC32C();
        for (int end = BLOCK_CHARACTERS; end <= promptText.length(); end += BLOCK_CHARACTERS) {
            hash.update(promptText.substring(end - BLOCK_CHARACTERS, end).getBytes(StandardCharsets.UTF_8));
            blocks.add(hash.getValue());
        }
        return blocks;
    }
}
