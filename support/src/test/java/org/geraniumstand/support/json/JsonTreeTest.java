package org.geraniumstand.support.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Trees must read and write as the mapper does. */
final class JsonTreeTest {
    private static final int TOO_DEEP = 100_000;

    @Provide
    Arbitrary<JsonNode> documents() {
        Arbitrary<JsonNode> leaves = Arbitraries.oneOf(
                Arbitraries.longs().map(Json.LENIENT.getNodeFactory()::numberNode),
                Arbitraries.integers().map(Json.LENIENT.getNodeFactory()::numberNode),
                Arbitraries.doubles().map(Json.LENIENT.getNodeFactory()::numberNode),
                Arbitraries.strings().ofMaxLength(6).map(Json.LENIENT.getNodeFactory()::textNode),
                Arbitraries.of(true, false).map(Json.LENIENT.getNodeFactory()::booleanNode),
                Arbitraries.just(Json.LENIENT.getNodeFactory().nullNode()));
        return Arbitraries.lazyOf(
                () -> leaves,
                () -> leaves,
                () -> documents().list().ofMaxSize(4).map(this::array),
                () -> Arbitraries.maps(Arbitraries.strings().ofMaxLength(3), documents())
                        .ofMaxSize(4)
                        .map(fields -> Json.LENIENT.createObjectNode().setAll(fields)));
    }

    private JsonNode array(List<JsonNode> elements) {
        return Json.LENIENT.createArrayNode().addAll(elements);
    }

    @Property(seed = "31", tries = 300)
    void readsWhatTheMapperReads(@ForAll("documents") JsonNode document) throws IOException {
        String text = document.toString();

        assertThat(JsonTree.read(text), equalTo(Json.LENIENT.readTree(text)));
    }

    @Property(seed = "32", tries = 300)
    void writesWhatTheMapperWrites(@ForAll("documents") JsonNode document) {
        assertThat(JsonTree.write(document), equalTo(document.toString()));
    }

    @Test
    void emptyTextIsNoDocument() throws IOException {
        assertThat(JsonTree.read("").isMissingNode(), is(true));
    }

    @Test
    void textThatIsNoJsonIsRefused() {
        assertThrows(IOException.class, () -> JsonTree.read("{\"a\":"));
        assertThrows(IOException.class, () -> JsonTree.read("{\"a\" 1}"));
        assertThrows(IOException.class, () -> JsonTree.read("[1,2"));
    }

    @Test
    void textNestedWithoutEndIsRefused() {
        assertThrows(IOException.class, () -> JsonTree.read("[".repeat(TOO_DEEP)));
    }
}
