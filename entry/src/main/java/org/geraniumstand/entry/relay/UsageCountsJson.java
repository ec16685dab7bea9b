package org.geraniumstand.entry.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.support.json.JsonTree;

/** Converts request counts to and from the JSON text that is kept in the store. */
final class UsageCountsJson {
    private UsageCountsJson() {}

    /** Returns the JSON text of request counts by team. */
    static String writeByTeam(Map<TeamId, Long> counts) {
        return JsonTree.write(toJson(counts));
    }

    /**
     * Parses request counts by team.
     *
     * @throws IOException if the text is not a JSON object with integer values
     */
    static Map<TeamId, Long> readByTeam(String text) throws IOException {
        return fromJson(JsonTree.read(text));
    }

    /** Returns the JSON text of request counts by counting process and team. */
    static String writeByProcess(Map<ProcessId, Map<TeamId, Long>> counts) {
        ObjectNode document = JsonTree.object();
        new TreeMap<>(counts).forEach((process, teamCounts) -> document.set(process.value(), toJson(teamCounts)));
        return JsonTree.write(document);
    }

    /**
     * Parses request counts by counting process and team.
     *
     * @throws IOException if the text is not a JSON object of objects with integer values
     */
    static Map<ProcessId, Map<TeamId, Long>> readByProcess(String text) throws IOException {
        JsonNode document = JsonTree.read(text);
        requireObject(document);
        Map<ProcessId, Map<TeamId, Long>> counts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> process : document.properties()) {
            counts.put(new ProcessId(process.getKey()), fromJson(process.getValue()));
        }
        return counts;
    }

    private static ObjectNode toJson(Map<TeamId, Long> counts) {
        ObjectNode node = JsonTree.object();
        new TreeMap<>(counts).forEach((team, count) -> node.put(team.value(), count));
        return node;
    }

    private static Map<TeamId, Long> fromJson(JsonNode node) throws IOException {
        requireObject(node);
        Map<TeamId, Long> counts = new TreeMap<>();
        for (Map.Entry<String, JsonNode> team : node.properties()) {
            if (!team.getValue().canConvertToLong() || !team.getValue().isIntegralNumber()) {
                throw new IOException("a request count is not an integer");
            }
            counts.put(new TeamId(team.getKey()), team.getValue().longValue());
        }
        return counts;
    }

    private static void requireObject(JsonNode node) throws IOException {
        if (!node.isObject()) {
            throw new IOException("expected a JSON object");
        }
    }
}
