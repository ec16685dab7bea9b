package org.geraniumstand.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;

final class CompletionTextTest {
    @Test
    void continuesGeneratedTextEvenInsideToken() {
        String fullText = CompletionText.fullText("p", 20);
        for (int length = 0; length < fullText.length(); length++) {
            CompletionText continuation = CompletionText.of(request("p", fullText.substring(0, length)));
            String continued = fullText.substring(0, length) + String.join("", continuation.nextTokens(20));
            assertThat(continued.startsWith(fullText), is(true));
        }
    }

    private static ObjectNode request(String prompt, String generated) {
        ObjectNode body = Json.LENIENT.createObjectNode();
        ArrayNode messages = body.putArray("messages");
        messages.addObject().put("role", "user").put("content", prompt);
        if (!generated.isEmpty()) {
            messages.addObject().put("role", "assistant").put("content", generated);
        }
        return body;
    }
}
