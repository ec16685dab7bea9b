package org.geraniumstand.entry.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.support.json.JsonTree;

/** The form in which counts of requests stand in the store. */
final class UsageCountsJson {
    private UsageCountsJson() {}

    /** Writes requests by team. */
    static String sums(Map<TeamId, Long> counts) {
        return JsonTree.write(node(counts));
    }

    /**
     * Reads requests by team.
     *
     * @throws IOException if the text has another form
     */
    static Map<TeamId, Long> readSums(String text) throws IOException {
        return counts(JsonTree.read(text));
    }

    /** Writes requests by team, by the process that counted them. */
    static String row(Map<ProcessId, Map<TeamId, Long>> counts) {
        ObjectNode row = JsonTree.object();
        new TreeMap<>(counts).forEach((counter, own) -> row.set(counter.value(), node(own)));
        return JsonTree.write(row);
    }

    /**
     * Reads requests by team, by the process that counted them.
     *
     * @throws IOException if the text has another form
     */
    static Map<ProcessId, Map<TeamId, Long>> readRow(String text) throws IOException {
        JsonNode row = JsonTree.read(text);
        requireObject(row);
        Map<ProcessId, Map<TeamId, Long>> counts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> counter : row.properties()) {
            counts.put(new ProcessId(counter.getKey()), counts(counter.getValue()));
        }
        return counts;
    }

    private static ObjectNode node(Map<TeamId, Long> counts) {
        ObjectNode node = JsonTree.object();
        new TreeMap<>(counts).forEach((team, count) -> node.put(team.value(), count));
        return node;
    }

    private static Map<TeamId, Long> counts(JsonNode node) throws IOException {
        requireObject(node);
        Map<TeamId, Long> counts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> team : node.properties()) {
            if (!team.getValue().canConvertToLong() || !team.getValue().isIntegralNumber()) {
                throw new IOException("a count is no whole number");
            }
            counts.put(new TeamId(team.getKey()), team.getValue().longValue());
        }
        return counts;
    }

    private static void requireObject(JsonNode node) throws IOException {
        if (!node.isObject()) {
            throw new IOException("an object is due");
        }
    }
}
