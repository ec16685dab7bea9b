package org.geraniumstand.http.filter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.geraniumstand.model.result.Result;

/**
 * The parsed body of a completion request.
 *
 * @param document the body as JSON
 * @param streaming whether the answer streams
 * @param promptText the texts of all messages, joined
 * @param maxTokens most tokens that the answer may have
 */
public record Completion(ObjectNode document, boolean streaming, String promptText, int maxTokens) {
    /** Most tokens that a caller may ask for. */
    public static final int MAX_ANSWER_TOKENS = 1_000_000;

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int BLOCK_CHARACTERS = 64 * CHARACTERS_PER_TOKEN;

    /**
     * Reads a completion request.
     *
     * @param document the body as JSON
     * @return the completion, or what is wrong
     */
    static Result<Completion, String> read(JsonNode document) {
        if (!(document instanceof ObjectNode object)) {
            return Result.err("the body must be a JSON object");
        }
        JsonNode messages = object.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return Result.err("messages must be an array that is not empty");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual()) {
                return Result.err("each of messages must be an object with a role");
            }
            text.append(message.path("role").asText())
                    .append('\n')
                    .append(contentOf(message.path("content")))
                    .append('\n');
        }
        return options(object, text.toString());
    }

    private static Result<Completion, String> options(ObjectNode object, String text) {
        JsonNode limit = object.path("max_tokens");
        boolean limitValid = limit.isMissingNode()
                || (limit.isInt() && limit.intValue() > 0 && limit.intValue() <= MAX_ANSWER_TOKENS);
        if (!limitValid) {
            return Result.err("max_tokens must be a whole number from 1 to " + MAX_ANSWER_TOKENS);
        }
        JsonNode stream = object.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return Result.err("stream must be true or false");
        }
        return Result.ok(new Completion(object, stream.asBoolean(false), text, limit.asInt(DEFAULT_MAX_TOKENS)));
    }

    private static String contentOf(JsonNode content) {
        return content.isContainerNode() ? content.toString() : content.asText("");
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
