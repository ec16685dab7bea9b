package org.geraniumstand.entry.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses a YAML text into entries by path, each with its line number. */
final class SettingsTree {
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<String> duplicates = new ArrayList<>();

    /** An entry of the YAML text.
     *
     * @param line line number, starting at 1
     * @param list whether the value is a list
     * @param values the single value, or the values of the list
     */
    record Entry(int line, boolean list, List<String> values) {}

    private SettingsTree() {}

    /**
     * Parses a YAML text.
     *
     * @throws IOException if the text is not valid YAML
     */
    static SettingsTree parse(String text) throws IOException {
        SettingsTree tree = new SettingsTree();
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            if (parser.nextToken() == JsonToken.START_OBJECT) {
                tree.readObject(parser, "");
            }
        }
        return tree;
    }

    Map<String, Entry> entries() {
        return entries;
    }

    List<String> duplicates() {
        return duplicates;
    }

    private void readObject(JsonParser parser, String prefix) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String path = prefix + parser.currentName();
            int line = parser.currentTokenLocation().getLineNr();
            JsonToken token = parser.nextToken();
            if (token == JsonToken.START_OBJECT) {
                readObject(parser, path + ".");
            } else if (token == JsonToken.START_ARRAY) {
                put(path, new Entry(line, true, readArray(parser)));
            } else {
                put(path, new Entry(line, false, List.of(text(parser))));
            }
        }
    }

    private static List<String> readArray(JsonParser parser) throws IOException {
        List<String> values = new ArrayList<>();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            if (token.isStructStart()) {
                parser.skipChildren();
                values.add("");
            } else {
                values.add(text(parser));
            }
        }
        return values;
    }

    private void put(String path, Entry entry) {
        if (entries.putIfAbsent(path, entry) != null) {
            duplicates.add(path);
        }
    }

    private static String text(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_NULL ? "" : parser.getText();
    }
}
