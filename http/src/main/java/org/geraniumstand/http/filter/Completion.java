package org.geraniumstand.http.filter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.geraniumstand.model.result.Result;

/**
 * Holds the parsed body of a completion request.
 *
 * @param document the request body as JSON
 * @param streaming whether the caller asks for a streamed answer
 * @param promptText the concatenated text of all messages
 * @param maxTokens maximum number of tokens in the answer
 */
public record Completion(ObjectNode document, boolean streaming, String promptText, int maxTokens) {
    /** Maximum number of answer tokens that a caller may request. */
    public static final int MAX_ANSWER_TOKENS = 1_000_000;

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int BLOCK_CHARACTERS = 64 * CHARACTERS_PER_TOKEN;

    /**
     * Parses a completion request.
     *
     * @param document the request body as JSON
     * @return the completion request, or a message that names the invalid field
     */
    static Result<Completion, String> read(JsonNode document) {
        if (!(document instanceof ObjectNode object)) {
            return Result.err("the body must be a JSON object");
        }
        JsonNode messages = object.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return Result.err("messages must be a non-empty array");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual()) {
                return Result.err("each element of messages must be an object with a role");
            }
            text.append(message.path("role").asText())
                    .append('\n')
                    .append(contentOf(message.path("content")))
                    .append('\n');
        }
        return readOptions(object, text.toString());
    }

    private static Result<Completion, String> readOptions(ObjectNode object, String text) {
        JsonNode maxTokensNode = object.path("max_tokens");
        boolean maxTokensValid = maxTokensNode.isMissingNode()
                || (maxTokensNode.isInt()
                        && maxTokensNode.intValue() > 0
                        && maxTokensNode.intValue() <= MAX_ANSWER_TOKENS);
        if (!maxTokensValid) {
            return Result.err("max_tokens must be an integer from 1 to " + MAX_ANSWER_TOKENS);
        }
        JsonNode stream = object.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return Result.err("stream must be true or false");
        }
        return Result.ok(
                new Completion(object, stream.asBoolean(false), text, maxTokensNode.asInt(DEFAULT_MAX_TOKENS)));
    }

    private static String contentOf(JsonNode content) {
        return content.isContainerNode() ? content.toString() : content.asText("");
    }

    /** Returns the estimated number of tokens in the prompt. */
    public int promptTokens() {
        return promptText.length() / CHARACTERS_PER_TOKEN;
    }

    /** Returns the hashes of the prompt's prefixes in steps of one block, the shortest prefix first. */
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
