package org.geraniumstand.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The text that a model engine generates for a prompt; it depends on the prompt alone, so that a check can recompute it.
 *
 * @param promptHash hash of all messages but a last one of the assistant
 * @param generated text of a last message of the assistant, which the engine goes on from
 * @param promptText texts of all messages, joined as prefix blocks are cut from them
 */
public record CompletionText(long promptHash, String generated, String promptText) {
    private static final int BLOCK_CHARACTERS = 256;
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Reads the messages of a request.
     *
     * @param body the request body
     */
    public static CompletionText of(JsonNode body) {
        StringBuilder own = new StringBuilder();
        StringBuilder all = new StringBuilder();
        String generated = "";
        JsonNode messages = body.path("messages");
        for (int i = 0; i < messages.size(); i++) {
            String role = messages.path(i).path("role").asText();
            String content = messages.path(i).path("content").asText();
            String text = role + "\n" + content + "\n";
            all.append(text);
            if (i == messages.size() - 1 && role.equals("assistant")) {
                generated = content;
            } else {
                own.append(text);
            }
        }
        return new CompletionText(hash(own.toString()), generated, all.toString());
    }

    /**
     * Returns the whole answer to a prompt of one user message.
     *
     * @param prompt the message
     * @param tokens length of the answer
     */
    public static String whole(String prompt, int tokens) {
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
     * @param count how many
     */
    List<String> next(int count) {
        List<String> tokens = new ArrayList<>();
        int position = 0;
        int index = 0;
        while (position < generated.length()) {
            position += token(promptHash, index).length();
            index++;
        }
        if (position > generated.length()) {
            String last = token(promptHash, index - 1);
            tokens.add(last.substring(last.length() - (position - generated.length())));
        }
        while (tokens.size() < count) {
            tokens.add(token(promptHash, index));
            index++;
        }
        return tokens;
    }

    /** Returns the tokens of the prompt. */
    int promptTokens() {
        return promptText.length() / CHARACTERS_PER_TOKEN;
    }

    /** Returns hashes of the prompt's prefix blocks, the shortest prefix first. */
    List<Long> blocks() {
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
