package org.geraniumstand.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumstand.support.json.Json;
import org.junit.jupiter.api.Test;

final class CompletionTextTest {
    @Test
    void goesOnWhereTheTextEndsEvenInsideToken() {
        String whole = CompletionText.whole("p", 20);
        for (int cut = 0; cut < whole.length(); cut++) {
            CompletionText rest = CompletionText.of(request("p", whole.substring(0, cut)));
            String text = whole.substring(0, cut) + String.join("", rest.next(20));
            assertThat(text.startsWith(whole), is(true));
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
