package org.geraniumstand.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Generates the completion of a prompt; the text depends only on the prompt, so that a check can recompute it.
 *
 * @param promptHash hash of all messages, except a final message of the assistant
 * @param generated text of a final message of the assistant, which the engine continues; empty if there is none
 * @param promptText concatenated text of all messages, from which the prefix blocks are cut
 */
public record CompletionText(long promptHash, String generated, String promptText) {
    private static final int BLOCK_CHARACTERS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Parses the messages of a completion request.
     *
     * @param body the JSON body of the request
     */
    public static CompletionText of(JsonNode body) {
        StringBuilder promptMessages = new StringBuilder();
        StringBuilder allMessages = new StringBuilder();
        String generated = "";
        JsonNode messages = body.path("messages");
        for (int i = 0; i < messages.size(); i++) {
            String role = messages.path(i).path("role").asText();
            String content = messages.path(i).path("content").asText();
            String text = role + "\n" + content + "\n";
            allMessages.append(text);
            if (i == messages.size() - 1 && role.equals("assistant")) {
                generated = content;
            } else {
                promptMessages.append(text);
            }
        }
        return new CompletionText(hash(promptMessages.toString()), generated, allMessages.toString());
    }

    /**
     * Returns the complete response to a prompt of one user message.
     *
     * @param prompt the text of the message
     * @param tokens length of the response in tokens
     */
    public static String fullText(String prompt, int tokens) {
        long hash = hash("user\n" + prompt + "\n");
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(hash, i));
        }
        return text.toString();
    }

    /**
     * Returns the next tokens after the text generated so far.
     *
     * @param count number of tokens to return
     */
    List<String> nextTokens(int count) {
        List<String> tokens = new ArrayList<>();
        int position = 0;
        int index = 0;
        while (position < generated.length()) {
            position += token(promptHash, index).length();
            index++;
        }
        if (position > generated.length()) {
            String partial = token(promptHash, index - 1);
            tokens.add(partial.substring(partial.length() - (position - generated.length())));
        }
        while (tokens.size() < count) {
            tokens.add(token(promptHash, index));
            index++;
        }
        return tokens;
    }

    /** Returns the number of tokens of the prompt. */
    int promptTokens() {
        return promptText.length() / CHARACTERS_PER_TOKEN;
    }

    /** Returns the hashes of the prompt's prefix blocks, the shortest prefix first. */
    List<Long> prefixBlocks() {
        List<Long> blocks = new ArrayList<>();
        CRC32C hash = new CRC32C();
        for (int end = BLOCK_CHARACTERS; end <= promptText.length(); end += BLOCK_CHARACTERS) {
            hash.update(promptText.substring(end - BLOCK_CHARACTERS, end).getBytes(StandardCharsets.UTF_8));
            blocks.add(hash.getValue());
        }
        return blocks;
    }

    private static String token(long hash, int index) {
        return "t" + index + "." + Long.toString(hash(hash + "/" + index) % 46_656, 36) + " ";
    }

    private static long hash(String text) {
        CRC32C hash = new CRC32C();
        hash.update(text.getBytes(StandardCharsets.UTF_8));
        return hash.getValue();
    }
}
