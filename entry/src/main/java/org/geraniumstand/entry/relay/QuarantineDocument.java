package org.geraniumstand.entry.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.support.json.JsonTree;

/** Converts prompts in quarantine to and from the JSON text that is kept in the store, with times of the wall clock. */
final class QuarantineDocument {
    private static final String PROMPTS = "prompts";
    private static final String PARTS = "parts";
    private static final String SERVICE = "service";
    private static final String PART = "part";
    private static final String CRASH = "crashEpochMillis";
    private static final String TRIAL = "trialEpochMillis";
    private static final String TRIALS = "trials";
    private static final int HEXADECIMAL = 16;

    /** Most prompts and parts that are read; other writers may leave larger documents. */
    private static final int MAX_READ = 64;

    private QuarantineDocument() {}

    static String write(List<QuarantinedPrompt> prompts, long epochMillis) {
        ObjectNode document = JsonTree.object();
        ArrayNode array = document.putArray(PROMPTS);
        for (QuarantinedPrompt prompt : prompts) {
            ObjectNode node = array.addObject();
            node.put(CRASH, epochMillis - prompt.crashAgeMillis())
                    .put(TRIAL, epochMillis + prompt.trialInMillis())
                    .put(TRIALS, prompt.trials());
            ArrayNode parts = node.putArray(PARTS);
            prompt.parts()
                    .forEach(part -> parts.addObject()
                            .put(SERVICE, part.service().value())
                            .put(PART, Long.toHexString(part.part())));
        }
        return JsonTree.write(document);
    }

    /**
     * Parses the prompts.
     *
     * @param text the document
     * @param epochMillis time of the wall clock in Unix milliseconds
     * @throws IOException if a field is missing or has another type
     */
    static List<QuarantinedPrompt> read(String text, long epochMillis) throws IOException {
        List<QuarantinedPrompt> prompts = new ArrayList<>();
        for (JsonNode node : elements(JsonTree.read(text).path(PROMPTS))) {
            List<ServicePart> parts = new ArrayList<>();
            for (JsonNode part : elements(node.path(PARTS))) {
                parts.add(readPart(part));
            }
            prompts.add(new QuarantinedPrompt(
                    parts,
                    Math.max(0, epochMillis - number(node, CRASH)),
                    number(node, TRIAL) - epochMillis,
                    Math.toIntExact(Math.min(Integer.MAX_VALUE, Math.max(0, number(node, TRIALS))))));
        }
        return prompts;
    }

    private static ServicePart readPart(JsonNode node) throws IOException {
        try {
            return new ServicePart(
                    new ServiceId(node.path(SERVICE).asText()),
                    Long.parseUnsignedLong(node.path(PART).asText(), HEXADECIMAL));
        } catch (IllegalArgumentException e) {
            throw new IOException("a part is malformed", e);
        }
    }

    private static Iterable<JsonNode> elements(JsonNode array) throws IOException {
        if (!array.isArray() || array.size() > MAX_READ) {
            throw new IOException("a list is missing or too long");
        }
        return array;
    }

    private static long number(JsonNode node, String name) throws IOException {
        if (!node.path(name).canConvertToLong()) {
            throw new IOException(name + " is not an integer");
        }
        return node.path(name).longValue();
    }
}
