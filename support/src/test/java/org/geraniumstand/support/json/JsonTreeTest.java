package org.geraniumstand.support.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Verifies that {@link JsonTree} parses and serializes documents exactly as the Jackson mapper does. */
final class JsonTreeTest {
    private static final int MAX_DEPTH = 3;
    private static final int EXCESSIVE_DEPTH = 100_000;

    @Provide
    Arbitrary<JsonNode> documents() {
        return nested(MAX_DEPTH);
    }

    private Arbitrary<JsonNode> nested(int depth) {
        if (depth == 0) {
            return leaves();
        }
        Arbitrary<JsonNode> inner = nested(depth - 1);
        return Arbitraries.oneOf(
                leaves(),
                inner.list().ofMaxSize(3).map(this::array),
                Arbitraries.maps(Arbitraries.strings().ofMaxLength(3), inner)
                        .ofMaxSize(3)
                        .map(fields -> Json.LENIENT.createObjectNode().setAll(fields)));
    }

    private static Arbitrary<JsonNode> leaves() {
        JsonNodeFactory nodes = Json.LENIENT.getNodeFactory();
        return Arbitraries.oneOf(
                Arbitraries.longs().map(nodes::numberNode),
                Arbitraries.integers().map(nodes::numberNode),
                Arbitraries.doubles().map(nodes::numberNode),
                Arbitraries.strings().ofMaxLength(6).map(nodes::textNode),
                Arbitraries.of(true, false).map(nodes::booleanNode),
                Arbitraries.just(nodes.nullNode()));
    }

    private JsonNode array(List<JsonNode> elements) {
        return Json.LENIENT.createArrayNode().addAll(elements);
    }

    @Property(seed = "31", tries = 300)
    void parsesDocumentsLikeMapper(@ForAll("documents") JsonNode document) throws IOException {
        String text = document.toString();

        assertThat(JsonTree.read(text), equalTo(Json.LENIENT.readTree(text)));
    }

    @Property(seed = "32", tries = 300)
    void serializesDocumentsLikeMapper(@ForAll("documents") JsonNode document) {
        assertThat(JsonTree.write(document), equalTo(document.toString()));
    }

    @Test
    void emptyTextYieldsMissingNode() throws IOException {
        assertThat(JsonTree.read("").isMissingNode(), is(true));
    }

    @Test
    void rejectsMalformedJson() {
        assertThrows(IOException.class, () -> JsonTree.read("{\"a\":"));
        assertThrows(IOException.class, () -> JsonTree.read("{\"a\" 1}"));
        assertThrows(IOException.class, () -> JsonTree.read("[1,2"));
    }

    @Test
    void rejectsTooDeeplyNestedJson() {
        assertThrows(IOException.class, () -> JsonTree.read("[".repeat(EXCESSIVE_DEPTH)));
    }
}
